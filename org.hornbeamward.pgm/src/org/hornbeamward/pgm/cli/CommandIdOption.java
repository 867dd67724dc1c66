package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;

/** The command id of a verb that changes something. */
final class CommandIdOption {
    @Option(
            names = "--command-id",
            paramLabel = "ID",
            description = "repeat a command whose outcome was unknown (exit code 5)")
    private @Nullable String mCommandId;

    /** Returns the given id, or a new one that stays the same for this run. */
    String value() {
        String id = mCommandId;
        if (id == null) {
            id = UUID.randomUUID().toString();
            mCommandId = id;
        }
        return id;
    }

    /** Adds the id to a failure that asks for a repeat. */
    <T> Either<CliFailure, T> explain(Either<CliFailure, T> result) {
        return result.mapLeft(
                failure ->
                        failure.exitCode() != ExitCodes.OUTCOME_UNKNOWN
                                ? failure
                                : new CliFailure(
                                        failure.exitCode(),
                                        failure.kind(),
                                        failure.message()
                                                + "; repeat with --command-id "
                                                + value()));
    }
}
