package org.hornbeamward.standin.worker;

import java.util.Collection;
import java.util.SplittableRandom;

/**
 * Interference between classes of work: how much a task slows down next to another one. It is not
 * reported to supervisors. The coefficients are drawn from the seed, so every process with the same
 * seed uses the same ones.
 */
final class SimulatedInterference {
    private static final double MAX_PAIR_SLOWDOWN = 0.6;
    private static final double STRONG_PAIR_FRACTION = 0.3;

    private final long mSeed;

    SimulatedInterference(long seed) {
        mSeed = seed;
    }

    /** Returns the slowdown that a neighbour with all processors adds to a task. */
    double pairSlowdown(String className, String neighbourClassName) {
        SplittableRandom random =
                new SplittableRandom(
                        mSeed * 31
                                + className.hashCode() * 1_000_003L
                                + neighbourClassName.hashCode());
        boolean strong = random.nextDouble() < STRONG_PAIR_FRACTION;
        return strong ? random.nextDouble() * MAX_PAIR_SLOWDOWN : 0.0;
    }

    /**
     * Returns the time for a unit of work relative to the time without neighbours, at least 1.0.
     */
    double slowdown(
            SimulatedTask task, Collection<SimulatedTask> tasks, long capacityCpuMillicores) {
        double slowdown = 1.0;
        for (SimulatedTask other : tasks) {
            if (other != task) {
                double share = other.usedCpuMillicores() / (double) capacityCpuMillicores;
                slowdown += pairSlowdown(task.className(), other.className()) * share * 4;
            }
        }
        return slowdown;
    }
}
