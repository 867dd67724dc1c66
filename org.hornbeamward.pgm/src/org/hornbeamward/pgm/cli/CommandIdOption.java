package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import java.util.UUID;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;

/** The command id option of the verbs that send a command. */
final class CommandIdOption {
    @Option(
            names = "--command-id",
            paramLabel = "ID",
            description = "repeat a command whose outcome was unknown (exit code 5)")
    private @Nullable String mCommandId;

    /** Returns the given id, or a random one that stays the same for this run. */
    String value() {
        String id = mCommandId;
        if (id == null) {
            id = UUID.randomUUID().toString();
            mCommandId = id;
        }
        return id;
    }

    /**
     * Adds the command id to a failure with unknown outcome, so that the command can be retried.
     */
    <T> Either<CliFailure, T> withRetryHint(Either<CliFailure, T> result) {
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
