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

/** What the supervisor knows of one worker that it contacts. */
final class WorkerSession {
    private static final long WAIT_FOR_REMOVED_NANOS =
            SupervisorPeriods.withMargin(
                    SupervisorPeriods.ACTIVE_NANOS + SupervisorPeriods.LEASE_NANOS);

    final WorkerId mWorker;

    /** Epoch at which this instance became the worker's supervisor. */
    final long mSinceEpoch;

    String mAddress;
    boolean mLinkUp;
    @Nullable WorkerStatus mStatus;
    long mStatusCount;

    /** Incarnation of the last status, also of a former link. */
    @Nullable Long mIncarnation;

    long mHeardNanos;
    long mRefusedEpoch;
    boolean mDirty = true;
    boolean mWantsTicket;

    /** True if the worker told of a placement that this instance does not know. */
    boolean mWantsStatus;

    @Nullable Long mHelloNanos;
    @Nullable Long mHeartbeatNanos;
    @Nullable Long mRegisterNanos;
    @Nullable Long mLoseNanos;

    /** Incarnation that this instance is declaring lost; it gets no lease any more. */
    @Nullable Long mLosingIncarnation;

    /** Earliest time of a loss because of members that were removed. */
    long mLoseNotBeforeNanos;

    /** When each other member was first heard to have read the log up to {@link #mSinceEpoch}. */
    final Map<InstanceId, Long> mSeenNanos = new HashMap<>();

    final TicketBook mTickets = new TicketBook();
    final Map<Long, RunningTask> mRunning = new TreeMap<>();
    final Map<Long, EndedTask> mEnded = new TreeMap<>();
    final Map<Long, TaskContact> mContacts = new HashMap<>();

    WorkerSession(WorkerId worker, String address, long epoch, long nowNanos) {
        mWorker = worker;
        mAddress = address;
        mSinceEpoch = epoch;
        mHeardNanos = nowNanos;
        mLoseNotBeforeNanos = nowNanos + WAIT_FOR_REMOVED_NANOS;
    }

    /** A removed member that had not read that this instance supervises may have renewed leases. */
    void onRemoved(InstanceId instance, long nowNanos) {
        Long seen = mSeenNanos.remove(instance);
        long untilNanos =
                seen == null
                        ? nowNanos + WAIT_FOR_REMOVED_NANOS
                        : seen + SupervisorPeriods.withMargin(SupervisorPeriods.LEASE_NANOS);
        if (untilNanos - mLoseNotBeforeNanos > 0) {
            mLoseNotBeforeNanos = untilNanos;
        }
    }

    void clearLoss() {
        mLosingIncarnation = null;
        mLoseNanos = null;
    }

    TaskContact contact(long token) {
        return mContacts.computeIfAbsent(token, key -> new TaskContact());
    }

    void onStatus(WorkerStatus status, long nowNanos) {
        if (mIncarnation == null || mIncarnation != status.incarnation()) {
            mTickets.clear();
            mContacts.clear();
            mRegisterNanos = null;
        }
        mIncarnation = status.incarnation();
        mStatus = status;
        mStatusCount++;
        mWantsStatus = false;
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
        mHelloNanos = null;
        mWantsTicket = false;
        mWantsStatus = false;
        mTickets.clear();
        mRunning.clear();
        mEnded.clear();
        mContacts.values().forEach(TaskContact::onLinkLost);
    }

    /** Tells whether the worker has answered lately on the present link. */
    boolean reachable(long nowNanos) {
        return mLinkUp
                && mStatus != null
                && nowNanos - mHeardNanos < SupervisorPeriods.SILENCE_NANOS;
    }
}
