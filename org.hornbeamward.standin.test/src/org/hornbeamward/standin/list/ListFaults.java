package org.hornbeamward.standin.list;

/**
 * Faults of the list stand-in, set by {@code POST /faults} with a JSON object of these fields;
 * fields that are left out keep their value.
 *
 * @param down requests for the list are answered with status 503
 * @param lagMillis age that a change must reach before it is served
 * @param versionsBack how many versions before the newest one is served
 * @param empty the list is served without instances, with the newest version
 * @param malformed the list is served cut off in the middle
 * @param faultyFraction fraction of answers, 0 to 1, that are chosen by the seed to be down, one
 *     version back or empty
 * @param seed seed of that choice; every change of faults starts the choice anew
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

    /** Checks the ranges. */
    public ListFaults {
        if (lagMillis < 0 || versionsBack < 0) {
            throw new IllegalArgumentException("lagMillis and versionsBack must not be negative");
        }
        if (!(faultyFraction >= 0 && faultyFraction <= 1)) {
            throw new IllegalArgumentException("faultyFraction must be from 0 to 1");
        }
    }

    /**
     * Sets or ends an outage.
     *
     * @param value whether the list is down
     * @return the changed faults
     */
    public ListFaults withDown(boolean value) {
        return new ListFaults(
                value, lagMillis, versionsBack, empty, malformed, faultyFraction, seed);
    }

    /**
     * Sets the lag.
     *
     * @param value age in milliseconds that a change must reach before it is served
     * @return the changed faults
     */
    public ListFaults withLagMillis(long value) {
        return new ListFaults(down, value, versionsBack, empty, malformed, faultyFraction, seed);
    }

    /**
     * Sets which version is served.
     *
     * @param value versions before the newest
     * @return the changed faults
     */
    public ListFaults withVersionsBack(int value) {
        return new ListFaults(down, lagMillis, value, empty, malformed, faultyFraction, seed);
    }

    /**
     * Sets whether the list is served without instances.
     *
     * @param value whether it is empty
     * @return the changed faults
     */
    public ListFaults withEmpty(boolean value) {
        return new ListFaults(
                down, lagMillis, versionsBack, value, malformed, faultyFraction, seed);
    }

    /**
     * Sets whether the list is served cut off.
     *
     * @param value whether it is malformed
     * @return the changed faults
     */
    public ListFaults withMalformed(boolean value) {
        return new ListFaults(down, lagMillis, versionsBack, empty, value, faultyFraction, seed);
    }
}
