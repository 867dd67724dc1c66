package org.hornbeamward.schedule.worker;

import static org.hornbeamward.schedule.worker.SupervisorPeriods.LEASE_NANOS;
import static org.hornbeamward.schedule.worker.SupervisorPeriods.withMargin;

import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.Member;

/**
 * Declares a worker lost once its lease has certainly lapsed, so that no task can still run on it.
 * Besides this instance, a former supervisor may have renewed the lease: a removed member for as
 * long as it may stay active, and a current member until it has read the epoch that made this
 * instance the supervisor.
 */
final class WorkerLossDetector {
    private final InstanceId mOwn;
    private final SupervisorContext mContext;

    WorkerLossDetector(InstanceId own, SupervisorContext context) {
        mOwn = own;
        mContext = context;
    }

    void detectLoss(WorkerSession session, long incarnation, long nowNanos) {
        boolean losing =
                session.mLosingIncarnation != null && session.mLosingIncarnation == incarnation;
        if (!losing) {
            session.clearLoss();
        }
        if (!mContext.logFresh(nowNanos) || session.mRefusedEpoch > mContext.epoch()) {
            return;
        }
        if (!losing && (session.reachable(nowNanos) || !leaseLapsed(session, nowNanos))) {
            return;
        }
        session.mLosingIncarnation = incarnation;
        long resendNanos = SupervisorPeriods.COMMAND_RESEND_NANOS;
        if (TaskMessageState.due(session.mLossEmittedNanos, resendNanos, nowNanos)) {
            session.mLossEmittedNanos = nowNanos;
            mContext.append(new RemoveLostWorker(session.mWorker, incarnation, mContext.epoch()));
        }
    }

    private boolean leaseLapsed(WorkerSession session, long nowNanos) {
        if (nowNanos - session.mEarliestLossNanos < 0) {
            return false;
        }
        Long heartbeatSentNanos = session.mHeartbeatSentNanos;
        if (heartbeatSentNanos != null && nowNanos - heartbeatSentNanos < withMargin(LEASE_NANOS)) {
            return false;
        }
        return mContext.mState.members().all().values().stream()
                .allMatch(member -> cannotHaveRenewed(session, member, nowNanos));
    }

    private boolean cannotHaveRenewed(WorkerSession session, Member member, long nowNanos) {
        if (member.instance().equals(mOwn) || member.joinToken() >= session.mSupervisorSinceEpoch) {
            return true;
        }
        Long caughtUpNanos = session.mCaughtUpNanos.get(member.instance());
        return caughtUpNanos != null && nowNanos - caughtUpNanos >= withMargin(LEASE_NANOS);
    }
}
