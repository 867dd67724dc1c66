package org.hornbeamward.route.retry;

/**
 * Parameters for retries, ejection and load shedding.
 *
 * @param retryRatio retries allowed per request
 * @param retryBurstCount maximum number of retries at once after a period without retries
 * @param ejectAfterCount number of consecutive failures after which an endpoint is ejected
 * @param shedding whether requests that would wait too long are refused at once
 * @param attemptTimeouts whether an idempotent request is retried after a timeout of one attempt
 */
public record RetryPolicy(
        double retryRatio,
        int retryBurstCount,
        int ejectAfterCount,
        boolean shedding,
        boolean attemptTimeouts) {
    /** The policy in production; docs/measurements-limits.md compares it with variants. */
    public static final RetryPolicy DEFAULT = new RetryPolicy(0.1, 10, 3, true, true);
}
