package org.hornbeamward.pgm.entry;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.RequestOutcomeUnknown;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.VerdictTable;

/**
 * Operators' commands that have not been read back from the log yet. Confined to the control duty.
 */
final class PendingCommands {
    private static final long READ_BACK_TIMEOUT_NANOS = 10_000_000_000L;

    private final Map<String, PendingCommand> mPendingCommands = new HashMap<>();

    private record PendingCommand(
            CompletableFuture<Either<HornbeamwardError, Long>> answer, long deadlineNanos) {}

    void add(
            String commandId,
            CompletableFuture<Either<HornbeamwardError, Long>> answer,
            long nowNanos) {
        PendingCommand earlier =
                mPendingCommands.put(
                        commandId, new PendingCommand(answer, nowNanos + READ_BACK_TIMEOUT_NANOS));
        if (earlier != null) {
            earlier.answer().complete(unknown());
        }
    }

    /** Answers with the first verdict on the command ID, whichever member appended it first. */
    void complete(String commandId, CommandResult result, VerdictTable verdicts) {
        PendingCommand pending = mPendingCommands.remove(commandId);
        if (pending == null) {
            return;
        }
        if (result.accepted()) {
            pending.answer().complete(Either.right(result.token()));
            return;
        }
        Either<HornbeamwardError, Long> verdict =
                verdicts.find(commandId)
                        .filter(first -> first.token() != result.token())
                        .map(first -> repeated(commandId, first))
                        .orElseGet(() -> Either.left(rejectionOf(commandId, result)));
        pending.answer().complete(verdict);
    }

    private static Either<HornbeamwardError, Long> repeated(
            String commandId, VerdictTable.Verdict first) {
        return first.error(commandId)
                .<Either<HornbeamwardError, Long>>map(Either::left)
                .orElseGet(() -> Either.right(first.token()));
    }

    private static HornbeamwardError rejectionOf(String commandId, CommandResult result) {
        HornbeamwardError rejection = result.rejection();
        return rejection == null
                ? new CommandRejected("command " + commandId, "it was refused")
                : rejection;
    }

    void expire(long nowNanos) {
        Iterator<PendingCommand> commands = mPendingCommands.values().iterator();
        while (commands.hasNext()) {
            PendingCommand pending = commands.next();
            if (nowNanos - pending.deadlineNanos() >= 0) {
                pending.answer().complete(unknown());
                commands.remove();
            }
        }
    }

    private static Either<HornbeamwardError, Long> unknown() {
        return Either.left(
                new RequestOutcomeUnknown("the command was not read back from the log in time"));
    }
}
