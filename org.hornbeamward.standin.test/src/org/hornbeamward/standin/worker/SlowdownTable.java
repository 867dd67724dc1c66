package org.hornbeamward.standin.worker;

import java.util.Collection;
import java.util.SplittableRandom;

/**
 * The hidden interference between classes of work: how much a task slows down next to another one.
 * Pairs are drawn from the seed, so that every process with the same seed agrees.
 */
final class SlowdownTable {
    private static final double MAX_PAIR_SLOWDOWN = 0.6;
    private static final double STRONG_PAIR_SHARE = 0.3;

    private final long mSeed;

    SlowdownTable(long seed) {
        mSeed = seed;
    }

    /** Added slowdown of a task of one class by a neighbour of another that has all processors. */
    double pair(String className, String neighbourClass) {
        SplittableRandom random =
                new SplittableRandom(
                        mSeed * 31 + className.hashCode() * 1_000_003L + neighbourClass.hashCode());
        boolean strong = random.nextDouble() < STRONG_PAIR_SHARE;
        return strong ? random.nextDouble() * MAX_PAIR_SLOWDOWN : 0.0;
    }

    /** Time for a unit of work over the time it takes alone, 1.0 or more. */
    double slowdown(
            SimulatedTask task, Collection<SimulatedTask> tasks, long capacityCpuMillicores) {
        double slowdown = 1.0;
        for (SimulatedTask other : tasks) {
            if (other != task) {
                double share = other.usedCpuMillicores() / (double) capacityCpuMillicores;
                slowdown += pair(task.className(), other.className()) * share * 4;
            }
        }
        return slowdown;
    }
}
