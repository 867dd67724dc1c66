package org.hornbeamward.bench.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Load of services and noise of batch classes over time. Each service's load swings by a third over
 * an hour and steps to a new level about every 15 minutes. About every 10 minutes one batch class
 * presses twice as hard on others for 3 minutes.
 */
final class Load {
    private static final double SWING = 0.33;
    private static final double SWING_SECONDS = 3600;
    private static final double STEP_SECONDS = 900;
    private static final double WAVE_EVERY_SECONDS = 600;
    private static final double WAVE_SECONDS = 180;
    private static final double WAVE_FACTOR = 2;

    private record Wave(int classIndex, double fromSeconds) {}

    private final long mSeed;
    private final List<Wave> mWaves = new ArrayList<>();

    Load(long seed, int serviceCount, int classCount) {
        mSeed = seed;
        SplittableRandom random = new SplittableRandom(seed * 31 + 2);
        double at = 0;
        while (at < 24 * 3600) {
            at += Draw.exponential(random, WAVE_EVERY_SECONDS);
            mWaves.add(new Wave(random.nextInt(serviceCount, classCount), at));
        }
    }

    /** Returns the load of a service between about 0.5 and 1.6. */
    double service(int classIndex, double seconds) {
        long step = (long) (seconds / STEP_SECONDS);
        SplittableRandom random =
                new SplittableRandom(mSeed * 7919 + classIndex * 104_729L + step * 15_485_863L);
        double level = 0.8 + 0.4 * random.nextDouble();
        double phase = 2 * Math.PI * (seconds / SWING_SECONDS + classIndex / 4.0);
        return level * (1 + SWING * Math.sin(phase));
    }

    /** Returns the factor on the pressure of a batch class. */
    double noise(int classIndex, double seconds) {
        for (Wave wave : mWaves) {
            if (wave.fromSeconds() > seconds) {
                return 1;
            }
            if (wave.classIndex() == classIndex && seconds < wave.fromSeconds() + WAVE_SECONDS) {
                return WAVE_FACTOR;
            }
        }
        return 1;
    }
}
