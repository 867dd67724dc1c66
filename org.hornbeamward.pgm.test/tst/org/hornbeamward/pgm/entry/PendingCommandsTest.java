package org.hornbeamward.pgm.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.vavr.control.Either;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.RequestOutcomeUnknown;
import org.hornbeamward.errors.VersionConflict;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.junit.jupiter.api.Test;

class PendingCommandsTest {
    private static final InstanceId INSTANCE = new InstanceId("entry-1");
    private final ClusterState mState = new ClusterState();
    private final PendingCommands mPending = new PendingCommands();
    private long mSequence;

    /**
     * Guards against a command repeated after a lost answer that reports a rejection instead of the
     * first result, or that takes effect twice.
     */
    @Test
    void repeatedCommandIdGetsTheFirstVerdict() {
        FailureDomainId domain = new FailureDomainId("east");
        apply(new JoinMember(INSTANCE, 1, domain, new RegionId("here"), "h:1", "h:2"));
        Either<HornbeamwardError, Long> first = run("c1");
        assertEquals(mState.config().version(), first.get());
        assertEquals(first, run("c1"));
        VersionConflict lost = assertInstanceOf(VersionConflict.class, run("c2").getLeft());
        VersionConflict repeated = assertInstanceOf(VersionConflict.class, run("c2").getLeft());
        assertEquals(first.get(), lost.currentVersion());
        assertEquals(lost.currentVersion(), repeated.currentVersion());
        assertEquals(first.get(), mState.config().version());
    }

    /** Guards against a caller that waits forever when the log does not answer. */
    @Test
    void commandThatIsNotReadBackIsUnknown() {
        CompletableFuture<Either<HornbeamwardError, Long>> answer = new CompletableFuture<>();
        mPending.add("c1", answer, 0);
        mPending.expire(1);
        assertFalse(answer.isDone());
        mPending.expire(3_600_000_000_000L);
        assertInstanceOf(RequestOutcomeUnknown.class, answer.join().getLeft());
    }

    private Either<HornbeamwardError, Long> run(String commandId) {
        CompletableFuture<Either<HornbeamwardError, Long>> answer = new CompletableFuture<>();
        mPending.add(commandId, answer, 0);
        TreeMap<String, String> entries = new TreeMap<>();
        entries.put("policy", "{\"placementPolicy\":\"best-fit\"}");
        CommandResult result = apply(new PublishConfig(commandId, 0, entries));
        mPending.complete(commandId, result, mState.verdicts());
        return answer.join();
    }

    private CommandResult apply(Command command) {
        mSequence++;
        CommandBatch batch = new CommandBatch(INSTANCE, 1, mSequence, 0, List.of(command));
        return mState.apply(mState.nextOffset(), batch).get(0);
    }
}
