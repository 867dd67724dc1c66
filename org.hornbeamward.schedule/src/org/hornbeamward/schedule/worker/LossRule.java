package org.hornbeamward.schedule.worker;

import static org.hornbeamward.schedule.worker.SupervisorPeriods.LEASE_NANOS;
import static org.hornbeamward.schedule.worker.SupervisorPeriods.withMargin;

import org.hornbeamward.command.LoseWorker;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.Member;

/**
 * Declares a worker lost once nobody can have renewed its lease so lately that a task may still
 * run. Besides this instance, an earlier supervisor may have renewed it: a removed one for as long
 * as it may be active, and a member until it has read the epoch that made this instance the
 * supervisor.
 */
final class LossRule {
    private final InstanceId mOwn;
    private final SupervisorView mView;

    LossRule(InstanceId own, SupervisorView view) {
        mOwn = own;
        mView = view;
    }

    void apply(WorkerSession session, long incarnation, long nowNanos) {
        boolean losing =
                session.mLosingIncarnation != null && session.mLosingIncarnation == incarnation;
        if (!losing) {
            session.clearLoss();
        }
        if (!mView.logFresh(nowNanos) || session.mRefusedEpoch > mView.epoch()) {
            return;
        }
        if (!losing && (session.reachable(nowNanos) || !leaseLapsed(session, nowNanos))) {
            return;
        }
        session.mLosingIncarnation = incarnation;
        long repeatNanos = SupervisorPeriods.COMMAND_REPEAT_NANOS;
        if (TaskContact.due(session.mLoseNanos, repeatNanos, nowNanos)) {
            session.mLoseNanos = nowNanos;
            mView.append(new LoseWorker(session.mWorker, incarnation, mView.epoch()));
        }
    }

    private boolean leaseLapsed(WorkerSession session, long nowNanos) {
        if (nowNanos - session.mLoseNotBeforeNanos < 0) {
            return false;
        }
        Long heartbeat = session.mHeartbeatNanos;
        if (heartbeat != null && nowNanos - heartbeat < withMargin(LEASE_NANOS)) {
            return false;
        }
        return mView.mState.members().all().values().stream()
                .allMatch(member -> cannotHaveRenewed(session, member, nowNanos));
    }

    private boolean cannotHaveRenewed(WorkerSession session, Member member, long nowNanos) {
        if (member.instance().equals(mOwn) || member.joinToken() >= session.mSinceEpoch) {
            return true;
        }
        Long seen = session.mSeenNanos.get(member.instance());
        return seen != null && nowNanos - seen >= withMargin(LEASE_NANOS);
    }
}
