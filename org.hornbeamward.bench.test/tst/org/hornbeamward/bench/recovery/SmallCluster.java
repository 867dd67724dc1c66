package org.hornbeamward.bench.recovery;

import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.state.ClusterState;
import org.jspecify.annotations.Nullable;

/** Cluster of 5 members and 4 workers with 18 tasks that run for 3 s or 20 s. */
final class SmallCluster {
    static final int TASK_COUNT = 18;

    final VirtualCluster mCluster;
    @Nullable VirtualMember mVictim;
    private int mSkipCount;

    SmallCluster(long seed) {
        mCluster = new VirtualCluster(Deployment.CONFIRMARE, 5, 4, seed);
        mCluster.submit("short", 8, new Resources(8_000, 8_000, 0), 3_000);
        mCluster.submit("long", 10, new Resources(8_000, 8_000, 0), 20_000);
    }

    /**
     * Kills the first member that reaches a failure point after a number of skipped occurrences.
     */
    void killAt(FailurePoint point, int skipCount) {
        mSkipCount = skipCount;
        mCluster.mFailureCondition =
                (member, reached) -> {
                    boolean dies = mVictim == null && reached == point && mSkipCount-- == 0;
                    if (dies) {
                        mVictim = member;
                    }
                    return dies;
                };
    }

    ClusterState state() {
        return mCluster.reader().mState;
    }
}
