package org.hornbeamward.dispatch.lead;

/**
 * Limits from the platform's settings.
 *
 * @param longestLeaseMillis longest lease that workers accept
 * @param stopTimeoutMillis longest time that a worker takes to stop a run
 * @param statusMillis how long the state of an ended job must stay available
 * @param processorShare CPU capacity of this instance, where 1 is one standard core
 * @param linkMbitPerSecond bandwidth of this instance's network link
 */
public record DispatchLimits(
        long longestLeaseMillis,
        long stopTimeoutMillis,
        long statusMillis,
        double processorShare,
        double linkMbitPerSecond) {
    /**
     * Preferred length of a lease. After a loss of all instances it takes 4.3 s on 0.3 of a core
     * until workers are polled again, and the last renewal is up to a second older. Tasks of a
     * worker that is lost for good wait as long before they are started elsewhere.
     */
    private static final long PREFERRED_LEASE_MILLIS = 7_000;

    /** Candidacy delay of an instance with almost no CPU; the election checks run every 0.1 s. */
    private static final double MAX_CPU_DELAY_MILLIS = 150.0;

    /** Candidacy delay of an instance with almost no bandwidth. */
    private static final double MAX_LINK_DELAY_MILLIS = 500.0;

    /** Bandwidth at which loading the stored state takes less time than an election. */
    private static final double FAST_LINK_MBIT_PER_SECOND = 50.0;

    /**
     * Returns the length of the leases that the leader grants.
     *
     * @return milliseconds
     */
    public long leaseMillis() {
        return Math.min(PREFERRED_LEASE_MILLIS, longestLeaseMillis);
    }

    /**
     * Returns how much longer this instance waits before it stands for election than one with ample
     * CPU and bandwidth. A new leader of 246 workers reads 3 MB to take over, which takes 2.4 s at
     * 10 Mbit/s.
     *
     * @return milliseconds
     */
    public long candidacyDelayMillis() {
        double cpuDeficit = Math.max(0, 1 - processorShare);
        double linkDeficit = Math.max(0, 1 - linkMbitPerSecond / FAST_LINK_MBIT_PER_SECOND);
        return (long) (MAX_CPU_DELAY_MILLIS * cpuDeficit + MAX_LINK_DELAY_MILLIS * linkDeficit);
    }
}
