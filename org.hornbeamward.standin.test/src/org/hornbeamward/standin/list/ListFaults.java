package org.hornbeamward.standin.list;

/**
 * Faults of the list stand-in, set by {@code POST /faults} with a JSON object of these fields;
 * fields that are left out keep their value.
 *
 * @param down whether requests for the list get status 503
 * @param lagMillis minimum age of a change before it is served
 * @param versionsBack how many versions the served list is behind the newest one
 * @param empty whether the list is served without instances, with the newest version number
 * @param malformed whether the list is served truncated to half its length
 * @param faultyFraction fraction of responses, 0 to 1, that are down, one version further back or
 *     empty, drawn from the seed
 * @param seed seed of that draw; every change of the faults restarts the sequence
 */
public record ListFaults(
        boolean down,
        long lagMillis,
        int versionsBack,
        boolean empty,
        boolean malformed,
        double faultyFraction,
        long seed) {
    /** No faults. */
    public static final ListFaults NONE = new ListFaults(false, 0, 0, false, false, 0, 1);

    /** Checks the ranges of the fields. */
    public ListFaults {
        if (lagMillis < 0 || versionsBack < 0) {
            throw new IllegalArgumentException("lagMillis and versionsBack must not be negative");
        }
        if (!(faultyFraction >= 0 && faultyFraction <= 1)) {
            throw new IllegalArgumentException("faultyFraction must be from 0 to 1");
        }
    }

    /**
     * Starts or ends an outage.
     *
     * @param value whether the list is down
     * @return a changed copy
     */
    public ListFaults withDown(boolean value) {
        return new ListFaults(
                value, lagMillis, versionsBack, empty, malformed, faultyFraction, seed);
    }

    /**
     * Sets the lag.
     *
     * @param value minimum age in milliseconds of a change before it is served
     * @return a changed copy
     */
    public ListFaults withLagMillis(long value) {
        return new ListFaults(down, value, versionsBack, empty, malformed, faultyFraction, seed);
    }

    /**
     * Sets which version is served.
     *
     * @param value number of versions behind the newest one
     * @return a changed copy
     */
    public ListFaults withVersionsBack(int value) {
        return new ListFaults(down, lagMillis, value, empty, malformed, faultyFraction, seed);
    }

    /**
     * Sets whether the list is served without instances.
     *
     * @param value whether it is empty
     * @return a changed copy
     */
    public ListFaults withEmpty(boolean value) {
        return new ListFaults(
                down, lagMillis, versionsBack, value, malformed, faultyFraction, seed);
    }

    /**
     * Sets whether the list is served truncated.
     *
     * @param value whether it is malformed
     * @return a changed copy
     */
    public ListFaults withMalformed(boolean value) {
        return new ListFaults(down, lagMillis, versionsBack, empty, value, faultyFraction, seed);
    }
}
