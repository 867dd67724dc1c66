package org.hornbeamward.pgm.admin;

import io.vavr.control.Either;
import java.util.Optional;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.ReleaseWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.VerdictTable;

/** Answers of operators' commands. */
public final class Verdicts {
    private Verdicts() {}

    /**
     * Turns the result of a command into its answer. A command whose id was used before gets the
     * verdict of the first one: the first token if that was accepted. A repeated refusal keeps its
     * text but not its kind, which the state does not remember.
     *
     * @param state the state right after the command was applied; only on the thread that applies
     *     the log
     * @param result what {@link ClusterState#apply} returned for the command
     * @return the token of the accepted command, or why it was refused
     */
    public static Either<HornbeamwardError, Long> of(ClusterState state, CommandResult result) {
        HornbeamwardError rejection = result.rejection();
        if (rejection == null) {
            return Either.right(result.token());
        }
        Optional<VerdictTable.Verdict> first =
                commandIdOf(result.command()).flatMap(state.verdicts()::find);
        if (first.isEmpty() || first.get().token() == result.token()) {
            return Either.left(rejection);
        }
        return first.get().rejection().isEmpty()
                ? Either.right(first.get().token())
                : Either.left(new CommandRejected("repeated command", first.get().rejection()));
    }

    /**
     * Returns the command id of an operator's command.
     *
     * @param command any command
     * @return its command id, or empty for a command of a member
     */
    public static Optional<String> commandIdOf(Command command) {
        return switch (command) {
            case PublishConfig publish -> Optional.of(publish.commandId());
            case TakeOutDomain takeOut -> Optional.of(takeOut.commandId());
            case BringBackDomain bringBack -> Optional.of(bringBack.commandId());
            case SubmitJob submit -> Optional.of(submit.commandId());
            case CancelJob cancel -> Optional.of(cancel.commandId());
            case ReleaseWorker release -> Optional.of(release.commandId());
            default -> Optional.empty();
        };
    }
}
