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

/** Group commit as in section 3.2 of the design: one append at a time, sent again unchanged. */
final class VirtualAppender {
    static final long GROUP_NANOS = 20_000_000;

    private final VirtualCluster mCluster;
    private final VirtualMember mMember;
    private final JitteredBackoff mBackoff;
    private final List<Command> mCollected = new ArrayList<>();
    private @Nullable CommandBatch mOutstanding;
    private boolean mCollecting;
    private long mSequence;

    VirtualAppender(VirtualCluster cluster, VirtualMember member, Random random) {
        mCluster = cluster;
        mMember = member;
        mBackoff = new JitteredBackoff(random, 250, 8_000);
    }

    void offer(Command command) {
        mCollected.add(command);
        collect();
    }

    private void collect() {
        if (!mCollecting && mOutstanding == null && !mCollected.isEmpty()) {
            mCollecting = true;
            mCluster.time().after(GROUP_NANOS, this::begin);
        }
    }

    private void begin() {
        mCollecting = false;
        mOutstanding =
                new CommandBatch(
                        mMember.id(),
                        mMember.mIncarnation,
                        ++mSequence,
                        mCluster.time().nowMillis(),
                        List.copyOf(mCollected));
        mCollected.clear();
        if (places(mOutstanding)) {
            mCluster.reach(mMember, FailurePoint.BEFORE_APPEND);
        }
        send(mOutstanding);
    }

    private static boolean places(CommandBatch batch) {
        return batch.commands().stream().anyMatch(PlaceTask.class::isInstance);
    }

    private void send(CommandBatch batch) {
        if (mMember.mDead) {
            return;
        }
        mCluster.time().after(mCluster.log().mAppendNanos, () -> arrive(batch));
    }

    private void arrive(CommandBatch batch) {
        if (batch.commands().stream().anyMatch(EndTask.class::isInstance)) {
            mCluster.reach(mMember, FailurePoint.BEFORE_END_APPEND);
            if (mMember.mDead) {
                return;
            }
        }
        if (!mCluster.log().mUp) {
            long waitNanos = mBackoff.nextWaitMillis() * 1_000_000;
            mCluster.time().after(waitNanos, () -> send(batch));
            return;
        }
        mBackoff.reset();
        mCluster.log().append(BatchCodec.encode(batch));
        if (places(batch)) {
            mCluster.reach(mMember, FailurePoint.AFTER_APPEND);
        }
        mCluster.time()
                .after(
                        mCluster.log().mAppendNanos,
                        () -> {
                            mOutstanding = null;
                            if (!mMember.mDead) {
                                collect();
                            }
                        });
    }
}
