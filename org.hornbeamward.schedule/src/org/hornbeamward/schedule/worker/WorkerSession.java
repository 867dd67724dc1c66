package org.hornbeamward.schedule.worker;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.transport.message.EndedTask;
import org.hornbeamward.transport.message.RunningTask;
import org.hornbeamward.transport.message.WorkerStatus;
import org.jspecify.annotations.Nullable;

/** The supervisor's state for one worker that it keeps a link to. */
final class WorkerSession {
    private static final long REMOVED_MEMBER_WAIT_NANOS =
            SupervisorPeriods.withMargin(
                    SupervisorPeriods.REMOVED_MEMBER_ACTIVE_NANOS + SupervisorPeriods.LEASE_NANOS);

    final WorkerId mWorker;

    /** Epoch at which this instance became the worker's supervisor. */
    final long mSupervisorSinceEpoch;

    String mAddress;
    boolean mLinkUp;
    @Nullable WorkerStatus mStatus;
    long mStatusCount;

    /** Incarnation in the last status, including one received on a previous link. */
    @Nullable Long mIncarnation;

    long mLastMessageNanos;
    long mRefusedEpoch;
    boolean mDirty = true;
    boolean mNeedsTicket;

    /** True if the worker reported a placement that this instance does not know. */
    boolean mNeedsStatus;

    @Nullable Long mHelloSentNanos;
    @Nullable Long mHeartbeatSentNanos;
    @Nullable Long mRegistrationEmittedNanos;
    @Nullable Long mLossEmittedNanos;

    /** Incarnation that this instance is declaring lost; its lease is no longer renewed. */
    @Nullable Long mLosingIncarnation;

    /** Earliest time at which the worker may be declared lost, because of removed members. */
    long mEarliestLossNanos;

    /**
     * Time at which each other member was first known to have read the log up to {@link
     * #mSupervisorSinceEpoch}.
     */
    final Map<InstanceId, Long> mCaughtUpNanos = new HashMap<>();

    final RecentTickets mTickets = new RecentTickets();
    final Map<Long, RunningTask> mRunning = new TreeMap<>();
    final Map<Long, EndedTask> mEnded = new TreeMap<>();
    final Map<Long, TaskMessageState> mMessageStates = new HashMap<>();

    WorkerSession(WorkerId worker, String address, long epoch, long nowNanos) {
        mWorker = worker;
        mAddress = address;
        mSupervisorSinceEpoch = epoch;
        mLastMessageNanos = nowNanos;
        mEarliestLossNanos = nowNanos + REMOVED_MEMBER_WAIT_NANOS;
    }

    /**
     * Delays a loss, because a removed member may have renewed the lease until it read that this
     * instance is the supervisor.
     */
    void onMemberRemoved(InstanceId instance, long nowNanos) {
        Long caughtUpNanos = mCaughtUpNanos.remove(instance);
        long untilNanos =
                caughtUpNanos == null
                        ? nowNanos + REMOVED_MEMBER_WAIT_NANOS
                        : caughtUpNanos
                                + SupervisorPeriods.withMargin(SupervisorPeriods.LEASE_NANOS);
        if (untilNanos - mEarliestLossNanos > 0) {
            mEarliestLossNanos = untilNanos;
        }
    }

    void clearLoss() {
        mLosingIncarnation = null;
        mLossEmittedNanos = null;
    }

    TaskMessageState messageState(long token) {
        return mMessageStates.computeIfAbsent(token, key -> new TaskMessageState());
    }

    void onStatus(WorkerStatus status, long nowNanos) {
        if (mIncarnation == null || mIncarnation != status.incarnation()) {
            mTickets.clear();
            mMessageStates.clear();
            mRegistrationEmittedNanos = null;
        }
        mIncarnation = status.incarnation();
        mStatus = status;
        mStatusCount++;
        mNeedsStatus = false;
        mTickets.add(status.ticketMillis(), nowNanos);
        mRunning.clear();
        status.runningTasks().forEach(task -> mRunning.put(task.token(), task));
        mEnded.clear();
        status.endedTasks().forEach(this::onEnded);
    }

    void onEnded(EndedTask ended) {
        mRunning.remove(ended.token());
        mEnded.put(ended.token(), ended);
    }

    void onLinkLost() {
        mLinkUp = false;
        mStatus = null;
        mHelloSentNanos = null;
        mNeedsTicket = false;
        mNeedsStatus = false;
        mTickets.clear();
        mRunning.clear();
        mEnded.clear();
        mMessageStates.values().forEach(TaskMessageState::onLinkLost);
    }

    /** Returns whether the worker has answered recently on the current link. */
    boolean reachable(long nowNanos) {
        return mLinkUp
                && mStatus != null
                && nowNanos - mLastMessageNanos < SupervisorPeriods.UNREACHABLE_AFTER_NANOS;
    }
}
