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

/** Operators' commands that wait to be read back from the log. Confined to the control duty. */
final class PendingCommands {
    private static final long WAIT_NANOS = 10_000_000_000L;

    private final Map<String, Waiting> mWaiting = new HashMap<>();

    private record Waiting(
            CompletableFuture<Either<HornbeamwardError, Long>> answer, long deadlineNanos) {}

    void add(
            String commandId,
            CompletableFuture<Either<HornbeamwardError, Long>> answer,
            long nowNanos) {
        Waiting earlier = mWaiting.put(commandId, new Waiting(answer, nowNanos + WAIT_NANOS));
        if (earlier != null) {
            earlier.answer().complete(unknown());
        }
    }

    /** Answers with the first verdict on the command, whoever appended it first. */
    void complete(String commandId, CommandResult result, VerdictTable verdicts) {
        Waiting waiting = mWaiting.remove(commandId);
        if (waiting == null) {
            return;
        }
        if (result.accepted()) {
            waiting.answer().complete(Either.right(result.token()));
            return;
        }
        Either<HornbeamwardError, Long> verdict =
                verdicts.find(commandId)
                        .filter(first -> first.token() != result.token())
                        .map(first -> repeated(commandId, first))
                        .orElseGet(() -> Either.left(rejectionOf(commandId, result)));
        waiting.answer().complete(verdict);
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
        Iterator<Waiting> all = mWaiting.values().iterator();
        while (all.hasNext()) {
            Waiting waiting = all.next();
            if (nowNanos - waiting.deadlineNanos() >= 0) {
                waiting.answer().complete(unknown());
                all.remove();
            }
        }
    }

    private static Either<HornbeamwardError, Long> unknown() {
        return Either.left(
                new RequestOutcomeUnknown("the command was not read back from the log in time"));
    }
}
