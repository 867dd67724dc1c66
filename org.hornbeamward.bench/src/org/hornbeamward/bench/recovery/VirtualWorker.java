package org.hornbeamward.bench.recovery;

import java.util.List;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.standin.worker.EventRecord;
import org.hornbeamward.standin.worker.WorkerAgent;
import org.hornbeamward.standin.worker.WorkerIdentity;
import org.hornbeamward.transport.message.WorkerMessage;
import org.jspecify.annotations.Nullable;

/** Stand-in worker on the virtual clock. Its monotonic clock has the same origin. */
final class VirtualWorker {
    static final long TICK_NANOS = 50_000_000;

    final WorkerIdentity mIdentity;
    final EventRecord mEvents = new EventRecord();
    final WorkerAgent mAgent;
    private final EventQueue mTime;
    private @Nullable VirtualLink mSupervisorLink;
    boolean mDead;
    long mDeadMillis = Long.MAX_VALUE;

    VirtualWorker(VirtualCluster cluster, WorkerIdentity identity, long seed) {
        mIdentity = identity;
        mTime = cluster.time();
        mAgent = new WorkerAgent(identity, 1, seed, mEvents, mTime.nowMillis());
        mTime.every(TICK_NANOS, this::tick);
    }

    WorkerId id() {
        return mIdentity.worker();
    }

    void kill() {
        mAgent.tick(mTime.nowMillis());
        mDead = true;
        mDeadMillis = mTime.nowMillis();
    }

    void receive(VirtualLink link, WorkerMessage message) {
        List<WorkerMessage> answers = mAgent.onMessage(message, mTime.nowMillis());
        if (mAgent.accepted()) {
            mSupervisorLink = link;
        }
        if (!answers.isEmpty()) {
            link.toMember(answers);
        }
    }

    private void tick() {
        if (mDead) {
            return;
        }
        List<WorkerMessage> reports = mAgent.tick(mTime.nowMillis());
        if (mSupervisorLink != null && mSupervisorLink.mOpen && !reports.isEmpty()) {
            mSupervisorLink.toMember(reports);
        }
    }
}
