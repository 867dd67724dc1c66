package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.transport.message.TaskReport;
import org.hornbeamward.transport.message.WorkerMessage;

/** A connection from one member to one worker. Messages to a dead process vanish in silence. */
final class VirtualLink {
    final VirtualMember mMember;
    final VirtualWorker mWorker;
    private final VirtualCluster mCluster;
    boolean mUp;

    VirtualLink(VirtualCluster cluster, VirtualMember member, VirtualWorker worker) {
        mCluster = cluster;
        mMember = member;
        mWorker = worker;
        cluster.time().after(2 * cluster.networkNanos(), this::open);
    }

    private void open() {
        if (!mMember.mDead && !mWorker.mDead) {
            mUp = true;
            mMember.onLinkOpen(this);
        }
    }

    void close() {
        mUp = false;
    }

    void toWorker(WorkerMessage message) {
        mCluster.time()
                .after(
                        mCluster.networkNanos(),
                        () -> {
                            if (mUp && !mWorker.mDead) {
                                mWorker.receive(this, message);
                            }
                        });
    }

    void toMember(List<WorkerMessage> messages) {
        List<WorkerMessage> copy = new ArrayList<>(messages);
        mCluster.time()
                .after(
                        mCluster.networkNanos(),
                        () -> {
                            if (mUp && !mMember.mDead) {
                                copy.forEach(message -> mMember.onWorkerMessage(this, message));
                            }
                        });
        if (copy.stream().anyMatch(TaskReport.class::isInstance)) {
            mCluster.reach(mMember, FailurePoint.AFTER_REPORT);
        }
    }
}
