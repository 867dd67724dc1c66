package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.lib.JitteredBackoff;
import org.jspecify.annotations.Nullable;

/**
 * Group commit as in section 3.2 of the design: at most one append is in flight, and it is resent
 * unchanged until the log answers.
 */
final class VirtualAppender {
    static final long GROUP_DELAY_NANOS = 20_000_000;

    private final VirtualCluster mCluster;
    private final VirtualMember mMember;
    private final JitteredBackoff mBackoff;
    private final List<Command> mQueuedCommands = new ArrayList<>();
    private @Nullable CommandBatch mOutstanding;
    private boolean mGroupScheduled;
    private long mSequence;

    VirtualAppender(VirtualCluster cluster, VirtualMember member, Random random) {
        mCluster = cluster;
        mMember = member;
        mBackoff = new JitteredBackoff(random, 250, 8_000);
    }

    void offer(Command command) {
        mQueuedCommands.add(command);
        scheduleGroup();
    }

    private void scheduleGroup() {
        if (!mGroupScheduled && mOutstanding == null && !mQueuedCommands.isEmpty()) {
            mGroupScheduled = true;
            mCluster.time().after(GROUP_DELAY_NANOS, this::sendGroup);
        }
    }

    private void sendGroup() {
        mGroupScheduled = false;
        mOutstanding =
                new CommandBatch(
                        mMember.id(),
                        mMember.mIncarnation,
                        ++mSequence,
                        mCluster.time().nowMillis(),
                        List.copyOf(mQueuedCommands));
        mQueuedCommands.clear();
        if (containsPlacement(mOutstanding)) {
            mCluster.onFailurePoint(mMember, FailurePoint.BEFORE_APPEND);
        }
        send(mOutstanding);
    }

    private static boolean containsPlacement(CommandBatch batch) {
        return batch.commands().stream().anyMatch(PlaceTask.class::isInstance);
    }

    private void send(CommandBatch batch) {
        if (mMember.mDead) {
            return;
        }
        mCluster.time().after(mCluster.log().mOneWayNanos, () -> onArrival(batch));
    }

    private void onArrival(CommandBatch batch) {
        if (batch.commands().stream().anyMatch(EndTask.class::isInstance)) {
            mCluster.onFailurePoint(mMember, FailurePoint.BEFORE_END_APPEND);
            if (mMember.mDead) {
                return;
            }
        }
        if (!mCluster.log().mAvailable) {
            long waitNanos = mBackoff.nextWaitMillis() * 1_000_000;
            mCluster.time().after(waitNanos, () -> send(batch));
            return;
        }
        mBackoff.reset();
        mCluster.log().append(BatchCodec.encode(batch));
        if (containsPlacement(batch)) {
            mCluster.onFailurePoint(mMember, FailurePoint.AFTER_APPEND);
        }
        mCluster.time()
                .after(
                        mCluster.log().mOneWayNanos,
                        () -> {
                            mOutstanding = null;
                            if (!mMember.mDead) {
                                scheduleGroup();
                            }
                        });
    }
}
