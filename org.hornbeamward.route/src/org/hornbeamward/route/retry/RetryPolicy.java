package org.hornbeamward.route.retry;

/**
 * How attempts are repeated and requests are shed.
 *
 * @param retryRatio retries per request
 * @param retryBurstCount most retries at once after a quiet time
 * @param ejectAfterCount consecutive failures that eject an endpoint
 * @param shedding whether requests that would wait too long are refused at once
 * @param attemptTimeouts whether idempotent requests are repeated after a slow attempt
 */
public record RetryPolicy(
        double retryRatio,
        int retryBurstCount,
        int ejectAfterCount,
        boolean shedding,
        boolean attemptTimeouts) {
    /** The policy of the product; docs/measurements-limits.md compares it. */
    public static final RetryPolicy DEFAULT = new RetryPolicy(0.1, 10, 3, true, true);
}
