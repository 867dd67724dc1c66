package org.hornbeamward.schedule.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;

/**
 * An entry instance with its own copy of the state. Its access to the log can be interrupted
 * independently of other instances.
 */
final class FakeInstance {
    static final long ACTIVE_NANOS = SupervisorPeriods.REMOVED_MEMBER_ACTIVE_NANOS;

    final InstanceId mId;
    final long mIncarnation;
    final FailureDomainId mFailureDomain;
    final ClusterState mState = new ClusterState();
    final WorkerSupervisor mSupervisor;
    final List<CommandBatch> mUnappended = new ArrayList<>();
    long mSequence;
    long mPromiseNanos = Long.MIN_VALUE / 2;
    long mLogReadNanos = Long.MIN_VALUE / 2;
    boolean mPaused;
    boolean mReadsLog = true;
    boolean mAppends = true;
    boolean mReceivesPromises;

    FakeInstance(String name, long incarnation, String failureDomain) {
        mId = new InstanceId(name);
        mIncarnation = incarnation;
        mFailureDomain = new FailureDomainId(failureDomain);
        mSupervisor = new WorkerSupervisor(mId);
        append(
                new JoinMember(
                        mId, incarnation, mFailureDomain, new RegionId("r"), "127.0.0.1:1", "a"));
    }

    void append(Command command) {
        mUnappended.add(new CommandBatch(mId, mIncarnation, ++mSequence, 1, List.of(command)));
    }

    void readLog(List<CommandBatch> log, long nowNanos) {
        long readStartedNanos = nowNanos;
        while (mState.nextOffset() < log.size()) {
            long offset = mState.nextOffset();
            List<CommandResult> results = mState.apply(offset, log.get((int) offset));
            mSupervisor.onState(mState, results, nowNanos);
        }
        mLogReadNanos = readStartedNanos;
        mSupervisor.onLogEnd(readStartedNanos);
    }

    boolean member() {
        return mState.members().find(mId, mIncarnation).isPresent();
    }

    boolean active(long nowNanos) {
        boolean promiseValid = nowNanos - mPromiseNanos < ACTIVE_NANOS;
        boolean logReadRecent = nowNanos - mLogReadNanos < ACTIVE_NANOS && member();
        return promiseValid || logReadRecent;
    }

    static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
