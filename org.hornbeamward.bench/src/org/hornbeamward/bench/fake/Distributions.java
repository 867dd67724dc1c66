package org.hornbeamward.bench.fake;

import java.util.SplittableRandom;

/** Probability distributions that {@link SplittableRandom} lacks. */
public final class Distributions {
    private Distributions() {}

    /**
     * Draws from a log-normal distribution of median 1.
     *
     * @param random source of randomness
     * @param sigma standard deviation of the logarithm
     * @return a factor above 0
     */
    public static double logNormal(SplittableRandom random, double sigma) {
        return Math.exp(sigma * random.nextGaussian());
    }

    /**
     * Draws from an exponential distribution.
     *
     * @param random source of randomness
     * @param mean mean of the distribution
     * @return 0 or more
     */
    public static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
