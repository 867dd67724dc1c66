package org.hornbeamward.schedule.worker;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.command.Command;
import org.hornbeamward.lib.FencingToken;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.transport.message.WorkerMessage;
import org.jspecify.annotations.Nullable;

/** The replicated state as read so far, and the output collected for the current call. */
final class SupervisorContext {
    private final List<OutgoingMessage> mMessages = new ArrayList<>();
    private final List<Command> mCommands = new ArrayList<>();
    ClusterState mState = new ClusterState();

    /** Start time of the latest log read that reached the end of the log; null before the first. */
    @Nullable Long mLogReadStartedNanos;

    long epoch() {
        return mState.members().epoch();
    }

    /**
     * Returns whether the state has applied the log up to and including the command with this
     * token.
     */
    boolean covers(long token) {
        return token < FencingToken.of(mState.nextOffset(), 0);
    }

    /**
     * Returns whether the state is recent enough to emit commands. Commands based on an old state
     * would accumulate while the log is unavailable.
     */
    boolean logFresh(long nowNanos) {
        Long started = mLogReadStartedNanos;
        return started != null && nowNanos - started < SupervisorPeriods.FRESH_LOG_NANOS;
    }

    void send(WorkerId worker, WorkerMessage message) {
        mMessages.add(new OutgoingMessage(worker, message));
    }

    void append(Command command) {
        mCommands.add(command);
    }

    SupervisorOutput takeOutput() {
        SupervisorOutput output = new SupervisorOutput(mMessages, mCommands);
        mMessages.clear();
        mCommands.clear();
        return output;
    }
}
