package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.pgm.settings.FieldReader;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.state.WorkTable;

/** Reads and writes the JSON form of a job's declaration. */
public final class JobSpecJson {
    private static final long MAX_MILLICORES = 1_000_000_000L;
    private static final long MAX_MEMORY_MIB = 1_000_000_000L;
    private static final int MAX_ACCELERATORS = 1_000;
    private static final long MAX_MILLIS = 10L * 365 * 24 * 3_600_000;

    private JobSpecJson() {}

    /**
     * Reads a declaration. Problems are added to the reader.
     *
     * @param reader reader of the object
     * @return the job, or empty after a problem with its names or kind
     */
    public static Optional<JobSpec> read(FieldReader reader) {
        Optional<JobId> id = reader.parsed("id", JobId::parse);
        Optional<TeamId> team = reader.parsed("team", TeamId::parse);
        Optional<String> className =
                reader.parsed("className", text -> TeamId.parse(text).map(TeamId::value));
        Optional<JobKind> kind = reader.parsed("kind", JobSpecJson::parseKind);
        int taskCount = (int) reader.integer("taskCount", 1, WorkTable.MAX_TASKS_PER_JOB);
        Resources resources = readResources(reader.object("resources"));
        boolean urgent = reader.flag("urgent", false);
        boolean checkpointable = reader.flag("checkpointable", false);
        long expectedRunMillis = reader.integer("expectedRunMillis", 0, MAX_MILLIS, 0);
        long agreedPeriodMillis = reader.integer("agreedPeriodMillis", 0, MAX_MILLIS, 0);
        if (kind.filter(value -> value == JobKind.SERVICE).isPresent() && agreedPeriodMillis < 1) {
            reader.addProblem("agreedPeriodMillis", "a service needs 1 or more");
        }
        if (id.isEmpty() || team.isEmpty() || className.isEmpty() || kind.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new JobSpec(
                        id.get(),
                        team.get(),
                        className.get(),
                        kind.get(),
                        taskCount,
                        resources,
                        urgent,
                        checkpointable,
                        expectedRunMillis,
                        agreedPeriodMillis));
    }

    /**
     * Writes a declaration.
     *
     * @param spec the job
     * @return an object with every field
     */
    public static ObjectNode write(JobSpec spec) {
        ObjectNode node = JsonDocuments.object();
        node.put("id", spec.id().value());
        node.put("team", spec.team().value());
        node.put("className", spec.className());
        node.put("kind", spec.kind().name());
        node.put("taskCount", spec.taskCount());
        node.set("resources", writeResources(spec.resources()));
        node.put("urgent", spec.urgent());
        node.put("checkpointable", spec.checkpointable());
        node.put("expectedRunMillis", spec.expectedRunMillis());
        node.put("agreedPeriodMillis", spec.agreedPeriodMillis());
        return node;
    }

    /**
     * Writes an amount of resources.
     *
     * @param resources the amount
     * @return an object with every field
     */
    public static ObjectNode writeResources(Resources resources) {
        ObjectNode node = JsonDocuments.object();
        node.put("cpuMillicores", resources.cpuMillicores());
        node.put("memoryMib", resources.memoryMib());
        node.put("acceleratorCount", resources.acceleratorCount());
        return node;
    }

    private static Resources readResources(FieldReader reader) {
        return new Resources(
                reader.integer("cpuMillicores", 1, MAX_MILLICORES),
                reader.integer("memoryMib", 1, MAX_MEMORY_MIB),
                (int) reader.integer("acceleratorCount", 0, MAX_ACCELERATORS, 0));
    }

    private static Either<InvalidSetting, JobKind> parseKind(String text) {
        return Arrays.stream(JobKind.values())
                .filter(kind -> kind.name().equals(text.toUpperCase(Locale.ROOT)))
                .findFirst()
                .<Either<InvalidSetting, JobKind>>map(Either::right)
                .orElseGet(
                        () ->
                                Either.left(
                                        new InvalidSetting(
                                                "'" + text + "'", "use SERVICE or BATCH")));
    }
}
