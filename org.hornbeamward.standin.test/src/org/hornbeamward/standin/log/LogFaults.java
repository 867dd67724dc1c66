package org.hornbeamward.standin.log;

/**
 * Faults of the log stand-in, set by {@code POST /faults} with a JSON object of these fields;
 * fields that are left out keep their value.
 *
 * @param down every request to a stream is answered with status 503
 * @param loseNextAnswers number of coming appends that take effect and get no answer
 * @param loseFraction fraction of appends, 0 to 1, that take effect and get no answer, chosen by
 *     the seed
 * @param seed seed of that choice; every change of faults starts the choice anew
 * @param delayMillis time by which answers are delayed after the request took effect
 * @param retainCount records that each stream keeps, at least 1
 */
public record LogFaults(
        boolean down,
        int loseNextAnswers,
        double loseFraction,
        long seed,
        long delayMillis,
        int retainCount) {
    /** No faults and a retention of 100,000 records. */
    public static final LogFaults NONE = new LogFaults(false, 0, 0, 1, 0, 100_000);

    /** Checks the ranges. */
    public LogFaults {
        if (loseNextAnswers < 0 || delayMillis < 0 || retainCount < 1) {
            throw new IllegalArgumentException(
                    "loseNextAnswers and delayMillis must not be negative, retainCount is from 1");
        }
        if (!(loseFraction >= 0 && loseFraction <= 1)) {
            throw new IllegalArgumentException("loseFraction must be from 0 to 1");
        }
    }

    /**
     * Sets or ends an outage.
     *
     * @param value whether the log is down
     * @return the changed faults
     */
    public LogFaults withDown(boolean value) {
        return new LogFaults(value, loseNextAnswers, loseFraction, seed, delayMillis, retainCount);
    }

    /**
     * Sets how many answers are lost next.
     *
     * @param value number of coming appends
     * @return the changed faults
     */
    public LogFaults withLoseNextAnswers(int value) {
        return new LogFaults(down, value, loseFraction, seed, delayMillis, retainCount);
    }

    /**
     * Sets which fraction of answers is lost.
     *
     * @param value fraction from 0 to 1
     * @param newSeed seed of the choice
     * @return the changed faults
     */
    public LogFaults withLoseFraction(double value, long newSeed) {
        return new LogFaults(down, loseNextAnswers, value, newSeed, delayMillis, retainCount);
    }

    /**
     * Sets the retention.
     *
     * @param value records that each stream keeps
     * @return the changed faults
     */
    public LogFaults withRetainCount(int value) {
        return new LogFaults(down, loseNextAnswers, loseFraction, seed, delayMillis, value);
    }
}
