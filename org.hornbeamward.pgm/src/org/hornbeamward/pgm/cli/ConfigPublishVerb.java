package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Publishes declared entries. */
@Command(name = "publish", description = "Publishes declared entries.")
final class ConfigPublishVerb extends Verb {
    @Parameters(paramLabel = "PATH", description = "file or directory of declared entries")
    private Path mPath = Path.of("");

    @Option(names = "--partial", description = "keep entries in force that are not declared")
    private boolean mPartial;

    @Option(
            names = "--base-version",
            paramLabel = "N",
            description = "version that the change was reviewed against; default: in force now")
    private @Nullable Long mBaseVersion;

    @Mixin private CommandIdOption mCommandId = new CommandIdOption();

    @Override
    Either<CliFailure, Result> run() {
        return mCommandId.withRetryHint(
                withClient(
                        client ->
                                ConfigChange.compute(client, mPath, mPartial)
                                        .flatMap(change -> publish(client, change))));
    }

    private Either<CliFailure, Result> publish(AdminClient client, ConfigChange change) {
        Long givenBase = mBaseVersion;
        long base = givenBase == null ? change.baseVersion() : givenBase;
        if (change.changes().isEmpty()) {
            return Either.right(
                    Result.of(
                            JsonDocuments.object().put("version", change.baseVersion()),
                            change.text()));
        }
        ObjectNode body = JsonDocuments.object();
        body.put("commandId", mCommandId.value());
        body.put("baseVersion", base);
        body.set("changedEntries", change.changes());
        return client.post("/v1/config", body)
                .map(
                        node ->
                                Result.of(
                                        node,
                                        change.text()
                                                + "\npublished as version "
                                                + node.path("version").asText()));
    }
}
