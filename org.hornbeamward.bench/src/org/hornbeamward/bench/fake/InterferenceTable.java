package org.hornbeamward.bench.fake;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * True interference coefficients between classes for one seed, which the policy under test does not
 * see. An aggressor class that uses the whole worker multiplies the latency (services) or the run
 * time (batch) of the victim class by 1 + coefficient.
 *
 * <p>The shape of the distribution is an assumption based on published co-location studies (Mars et
 * al., Bubble-Up, MICRO 2011; Delimitrou and Kozyrakis, Paragon, ASPLOS 2013; Lo et al., Heracles,
 * ISCA 2015): most pairs barely affect each other, and a few that contend for caches or memory
 * bandwidth slow down severalfold, tail latency more than throughput. Half of the pairs are
 * harmless, three in ten moderate, and two in ten severe. The figures were fixed before the
 * interference policy was written.
 */
public final class InterferenceTable {
    /** Half of the pairs are harmless. */
    private static final double HARMLESS_SHARE = 0.5;

    /** Three in ten are moderate; the rest is severe. */
    private static final double MODERATE_SHARE = 0.3;

    /**
     * Contention grows less than linearly with the aggressor's share of the worker, because its
     * first cores already displace the shared cache and further cores only take memory bandwidth.
     */
    private static final double SATURATION_EXPONENT = 0.7;

    private final List<String> mClasses;
    private final int mServiceCount;
    private final double[][] mCoefficients;

    /**
     * Draws the coefficients.
     *
     * @param deployment deployment that lists the classes
     * @param seed seed of the random draws
     */
    public InterferenceTable(Deployment deployment, long seed) {
        mClasses = new ArrayList<>(deployment.serviceClasses());
        mServiceCount = mClasses.size();
        mClasses.addAll(deployment.batchClasses());
        SplittableRandom random = new SplittableRandom(seed * 31 + 1);
        mCoefficients = new double[mClasses.size()][mClasses.size()];
        for (int victim = 0; victim < mClasses.size(); victim++) {
            for (int aggressor = 0; aggressor < mClasses.size(); aggressor++) {
                mCoefficients[victim][aggressor] = draw(random, victim, aggressor);
            }
        }
    }

    private double draw(SplittableRandom random, int victim, int aggressor) {
        double kind = random.nextDouble();
        double within = random.nextDouble();
        boolean service = victim < mServiceCount;
        if (aggressor < mServiceCount) {
            // Services use little memory bandwidth, so they cause little interference.
            return 0.2 * within;
        }
        if (kind < HARMLESS_SHARE) {
            return 0.1 * within;
        }
        if (kind < HARMLESS_SHARE + MODERATE_SHARE) {
            return service ? 0.3 + 0.7 * within : 0.2 + 0.6 * within;
        }
        return service ? 2.0 + 4.0 * within : 1.5 + 2.0 * within;
    }

    /**
     * Returns the index of a class.
     *
     * @param className name of the class
     * @return index in the arrays of this table
     */
    public int indexOf(String className) {
        return mClasses.indexOf(className);
    }

    /**
     * Returns the number of classes.
     *
     * @return number of service and batch classes
     */
    public int classCount() {
        return mClasses.size();
    }

    /**
     * Returns a coefficient. Used by the policy of the {@code bound} run, which knows the table.
     *
     * @param victim class that is slowed down
     * @param aggressor class that causes the slowdown
     * @return slowdown above 1 if the aggressor uses the whole worker
     */
    public double coefficient(String victim, String aggressor) {
        return mCoefficients[indexOf(victim)][indexOf(aggressor)];
    }

    /**
     * Returns the slowdown of a class under contention.
     *
     * @param victim index of the victim's class
     * @param pressure by class, the cores used by other tasks over the worker's cores, times
     *     intensity
     * @return factor of 1 or more
     */
    public double slowdown(int victim, double[] pressure) {
        double sum = 1;
        for (int aggressor = 0; aggressor < pressure.length; aggressor++) {
            if (pressure[aggressor] > 1e-9) {
                sum +=
                        mCoefficients[victim][aggressor]
                                * Math.pow(pressure[aggressor], SATURATION_EXPONENT);
            }
        }
        return sum;
    }

    @Override
    public String toString() {
        return mClasses + " " + Arrays.deepToString(mCoefficients);
    }
}
