package org.hornbeamward.dispatch.lead;

/**
 * Limits that the platform's settings give.
 *
 * @param longestLeaseMillis longest lease that workers grant
 * @param statusMillis how long the state of an ended job must be known
 * @param processorShare processors of this instance, in those of a plain core
 * @param linkMbitPerSecond bandwidth of this instance's link
 */
public record DispatchLimits(
        long longestLeaseMillis,
        long statusMillis,
        double processorShare,
        double linkMbitPerSecond) {
    /**
     * Lease to grant. A loss of all instances takes 4.3 s on 0.3 of a core until workers are looked
     * at again, and the last renewal is up to a second older. Work on a worker that is lost for
     * good waits as long.
     */
    private static final long WANTED_LEASE_MILLIS = 7_000;

    /** Candidacy delay of an instance with next to no processor; checks run every 0.1 s. */
    private static final double WEAKNESS_MILLIS = 150.0;

    /** Candidacy delay of an instance with next to no link. */
    private static final double SLOWNESS_MILLIS = 500.0;

    /** Bandwidth at which loading takes less time than an election. */
    private static final double FAST_LINK_MBIT_PER_SECOND = 50.0;

    /**
     * Returns the lease that is granted.
     *
     * @return milliseconds
     */
    public long leaseMillis() {
        return Math.min(WANTED_LEASE_MILLIS, longestLeaseMillis);
    }

    /**
     * Returns how much later than a strong instance this one stands for election. A leader of 246
     * workers reads 3 MB to take over, which takes 2.4 s at 10 Mbit/s.
     *
     * @return milliseconds
     */
    public long candidacyDelayMillis() {
        double weakness = Math.max(0, 1 - processorShare);
        double slowness = Math.max(0, 1 - linkMbitPerSecond / FAST_LINK_MBIT_PER_SECOND);
        return (long) (WEAKNESS_MILLIS * weakness + SLOWNESS_MILLIS * slowness);
    }
}
