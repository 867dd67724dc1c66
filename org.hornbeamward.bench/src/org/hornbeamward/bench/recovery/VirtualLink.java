package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.transport.message.TaskReport;
import org.hornbeamward.transport.message.WorkerMessage;

/**
 * Connection from a member to a worker. Messages to a dead process are dropped without an error.
 */
final class VirtualLink {
    final VirtualMember mMember;
    final VirtualWorker mWorker;
    private final VirtualCluster mCluster;
    boolean mOpen;

    VirtualLink(VirtualCluster cluster, VirtualMember member, VirtualWorker worker) {
        mCluster = cluster;
        mMember = member;
        mWorker = worker;
        cluster.time().after(2 * cluster.networkNanos(), this::open);
    }

    private void open() {
        if (!mMember.mDead && !mWorker.mDead) {
            mOpen = true;
            mMember.onLinkOpen(this);
        }
    }

    void close() {
        mOpen = false;
    }

    void toWorker(WorkerMessage message) {
        mCluster.time()
                .after(
                        mCluster.networkNanos(),
                        () -> {
                            if (mOpen && !mWorker.mDead) {
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
                            if (mOpen && !mMember.mDead) {
                                copy.forEach(message -> mMember.onWorkerMessage(this, message));
                            }
                        });
        if (copy.stream().anyMatch(TaskReport.class::isInstance)) {
            mCluster.onFailurePoint(mMember, FailurePoint.AFTER_REPORT);
        }
    }
}
