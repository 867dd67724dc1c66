package org.hornbeamward.dispatch.account;

/**
 * Decides whether a job beyond the share of its account is accepted. Load pattern: one account
 * sends many times its usual while the workers are full, so that its jobs wait behind those of all
 * others and end too late to be of use. Jobs within the share are always accepted.
 */
public final class ShareAdmission {
    /** The shortest time after which a caller is asked to return. */
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    /**
     * The longest time over which returning callers are spread, so that they do not come back
     * together. Callers give up after some tries, so a longer time would serve fewer of them.
     */
    private static final long MAX_SPREAD_MILLIS = 4_000;

    private ShareAdmission() {}

    /** Result of the decision. */
    public sealed interface Decision {
        /** The job is accepted. */
        record Admitted() implements Decision {}

        /**
         * The job would end too late.
         *
         * @param retryAfterMillis time after which the caller may try again
         */
        record Deferred(long retryAfterMillis) implements Decision {}
    }

    /**
     * Decides on a job.
     *
     * @param shareWaitMillis time until a job lies within the account's share; 0 if it does now
     * @param beyondShareWaitMillis how long the oldest job beyond a share has been waiting for
     *     workers; 0 if none waits
     * @param slackMillis longest time for which the job may wait and still meet its objective
     * @param random a random number from 0 to 1
     * @return whether the job is accepted
     */
    public static Decision decide(
            long shareWaitMillis, long beyondShareWaitMillis, long slackMillis, double random) {
        if (shareWaitMillis == 0 || beyondShareWaitMillis <= slackMillis) {
            return new Decision.Admitted();
        }
        long spreadMillis = Math.min(MAX_SPREAD_MILLIS, beyondShareWaitMillis);
        return new Decision.Deferred(
                Math.max(MIN_RETRY_AFTER_MILLIS, shareWaitMillis) + (long) (random * spreadMillis));
    }
}
