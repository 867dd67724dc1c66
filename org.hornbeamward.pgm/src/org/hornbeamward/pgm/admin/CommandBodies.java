package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.ReleaseWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.MalformedId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.pgm.settings.FieldReader;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** Parses request bodies into commands. Every problem is reported with its key. */
final class CommandBodies {
    private static final int MAX_COMMAND_ID_LENGTH = 64;
    private static final long MAX_NOTICE_MILLIS = 24 * 3_600_000L;

    private CommandBodies() {}

    static Either<HornbeamwardError, PublishConfig> publish(byte[] body) {
        return reader(body)
                .flatMap(
                        reader -> {
                            Optional<String> commandId = readCommandId(reader);
                            long baseVersion = readBaseVersion(reader);
                            SortedMap<String, String> entries =
                                    readEntries(reader.object("changedEntries"));
                            return reader.finish(
                                    () ->
                                            new PublishConfig(
                                                    commandId.orElseThrow(), baseVersion, entries));
                        });
    }

    static Either<HornbeamwardError, TakeOutDomain> takeOut(String domain, byte[] body) {
        return withId(
                FailureDomainId.parse(domain),
                body,
                (id, reader) -> {
                    Optional<String> commandId = readCommandId(reader);
                    long base = readBaseVersion(reader);
                    long notice = reader.integer("noticeMillis", 0, MAX_NOTICE_MILLIS);
                    boolean lost = reader.flag("lost", false);
                    return reader.finish(
                            () ->
                                    new TakeOutDomain(
                                            commandId.orElseThrow(), id, base, notice, lost));
                });
    }

    static Either<HornbeamwardError, BringBackDomain> bringBack(String domain, byte[] body) {
        return withId(
                FailureDomainId.parse(domain),
                body,
                (id, reader) -> {
                    Optional<String> commandId = readCommandId(reader);
                    long base = readBaseVersion(reader);
                    return reader.finish(
                            () -> new BringBackDomain(commandId.orElseThrow(), id, base));
                });
    }

    static Either<HornbeamwardError, CancelJob> cancel(String job, byte[] body) {
        return withId(
                JobId.parse(job),
                body,
                (id, reader) -> {
                    Optional<String> commandId = readCommandId(reader);
                    return reader.finish(() -> new CancelJob(commandId.orElseThrow(), id));
                });
    }

    static Either<HornbeamwardError, ReleaseWorker> release(String worker, byte[] body) {
        return withId(
                WorkerId.parse(worker),
                body,
                (id, reader) -> {
                    Optional<String> commandId = readCommandId(reader);
                    return reader.finish(() -> new ReleaseWorker(commandId.orElseThrow(), id));
                });
    }

    static Either<HornbeamwardError, SubmitJob> submit(byte[] body) {
        return reader(body)
                .flatMap(
                        reader -> {
                            Optional<String> commandId = readCommandId(reader);
                            Optional<JobSpec> job = JobSpecJson.read(reader.object("job"));
                            return reader.finish(
                                    () ->
                                            new SubmitJob(
                                                    commandId.orElseThrow(), job.orElseThrow()));
                        });
    }

    private static <I, T> Either<HornbeamwardError, T> withId(
            Either<MalformedId, I> id,
            byte[] body,
            BiFunction<I, FieldReader, Either<HornbeamwardError, T>> read) {
        return id.isLeft()
                ? Either.left(id.getLeft())
                : reader(body).flatMap(reader -> read.apply(id.get(), reader));
    }

    private static Either<HornbeamwardError, FieldReader> reader(byte[] body) {
        return JsonDocuments.parseBody(body).map(FieldReader::of);
    }

    private static long readBaseVersion(FieldReader reader) {
        return reader.integer("baseVersion", 0, Long.MAX_VALUE);
    }

    private static Optional<String> readCommandId(FieldReader reader) {
        return reader.parsed(
                "commandId",
                text ->
                        text.matches("[A-Za-z0-9._-]{1," + MAX_COMMAND_ID_LENGTH + "}")
                                ? Either.right(text)
                                : Either.left(
                                        new InvalidSetting(
                                                "'" + text + "'",
                                                "use 1 to "
                                                        + MAX_COMMAND_ID_LENGTH
                                                        + " letters, digits, '.', '_' or '-'")));
    }

    private static SortedMap<String, String> readEntries(FieldReader reader) {
        SortedMap<String, String> entries = new TreeMap<>();
        for (String key : reader.keys()) {
            JsonNode value = reader.find(key).orElseThrow();
            if (value.isNull()) {
                entries.put(key, "");
            } else if (value instanceof ObjectNode) {
                entries.put(key, JsonDocuments.compact(value));
            } else {
                reader.addProblem(key, "must be an object, or null to remove the entry");
            }
        }
        return entries;
    }
}
