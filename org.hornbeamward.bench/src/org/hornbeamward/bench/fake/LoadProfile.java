package org.hornbeamward.bench.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Load of services and contention bursts of batch classes over time. The load of each service
 * oscillates by a third with a period of one hour and steps to a new level every 15 minutes. About
 * every 10 minutes one batch class causes twice its usual contention for 3 minutes.
 */
final class LoadProfile {
    private static final double AMPLITUDE = 0.33;
    private static final double PERIOD_SECONDS = 3600;
    private static final double STEP_SECONDS = 900;
    private static final double BURST_INTERVAL_SECONDS = 600;
    private static final double BURST_SECONDS = 180;
    private static final double BURST_FACTOR = 2;

    private record Burst(int classIndex, double fromSeconds) {}

    private final long mSeed;
    private final List<Burst> mBursts = new ArrayList<>();

    LoadProfile(long seed, int serviceCount, int classCount) {
        mSeed = seed;
        SplittableRandom random = new SplittableRandom(seed * 31 + 2);
        double at = 0;
        while (at < 24 * 3600) {
            at += Distributions.exponential(random, BURST_INTERVAL_SECONDS);
            mBursts.add(new Burst(random.nextInt(serviceCount, classCount), at));
        }
    }

    /** Returns the load of a service between about 0.5 and 1.6. */
    double service(int classIndex, double seconds) {
        long step = (long) (seconds / STEP_SECONDS);
        SplittableRandom random =
                new SplittableRandom(mSeed * 7919 + classIndex * 104_729L + step * 15_485_863L);
        double level = 0.8 + 0.4 * random.nextDouble();
        double phase = 2 * Math.PI * (seconds / PERIOD_SECONDS + classIndex / 4.0);
        return level * (1 + AMPLITUDE * Math.sin(phase));
    }

    /** Returns the factor on the contention that a batch class causes. */
    double burstFactor(int classIndex, double seconds) {
        for (Burst burst : mBursts) {
            if (burst.fromSeconds() > seconds) {
                return 1;
            }
            if (burst.classIndex() == classIndex && seconds < burst.fromSeconds() + BURST_SECONDS) {
                return BURST_FACTOR;
            }
        }
        return 1;
    }
}
