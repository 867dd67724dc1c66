package org.hornbeamward.standin.log;

/**
 * Faults of the log stand-in, set by {@code POST /faults} with a JSON object of these fields;
 * fields that are left out keep their value.
 *
 * @param down whether every request to a stream gets status 503
 * @param loseNextAnswers number of next appends that take effect but get no response
 * @param loseFraction fraction of appends, 0 to 1, that take effect but get no response, drawn from
 *     the seed
 * @param seed seed of that draw; every change of the faults restarts the sequence
 * @param delayMillis delay of responses after the request took effect
 * @param retainCount maximum number of records that each stream retains, at least 1
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

    /** Checks the ranges of the fields. */
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
     * Starts or ends an outage.
     *
     * @param value whether the log is down
     * @return a changed copy
     */
    public LogFaults withDown(boolean value) {
        return new LogFaults(value, loseNextAnswers, loseFraction, seed, delayMillis, retainCount);
    }

    /**
     * Sets how many of the next responses are lost.
     *
     * @param value number of next appends
     * @return a changed copy
     */
    public LogFaults withLoseNextAnswers(int value) {
        return new LogFaults(down, value, loseFraction, seed, delayMillis, retainCount);
    }

    /**
     * Sets which fraction of responses is lost.
     *
     * @param value fraction from 0 to 1
     * @param newSeed seed of the draw
     * @return a changed copy
     */
    public LogFaults withLoseFraction(double value, long newSeed) {
        return new LogFaults(down, loseNextAnswers, value, newSeed, delayMillis, retainCount);
    }

    /**
     * Sets the retention.
     *
     * @param value maximum number of records that each stream retains
     * @return a changed copy
     */
    public LogFaults withRetainCount(int value) {
        return new LogFaults(down, loseNextAnswers, loseFraction, seed, delayMillis, value);
    }
}
