package org.hornbeamward.bench.recovery;

import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.state.ClusterState;
import org.jspecify.annotations.Nullable;

/** 5 members, 4 workers and a few tasks of 3 s and 20 s. */
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

    /** Kills the member that reaches a point for the first time after some skipped ones. */
    void killAt(FailurePoint point, int skipCount) {
        mSkipCount = skipCount;
        mCluster.mFailure =
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
