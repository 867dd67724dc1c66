package org.hornbeamward.route.retry;

/**
 * Limits retries to a share of requests with a token bucket, so that retries cannot multiply the
 * load of an outage. Safe for use by any thread.
 */
public final class RetryBudget {
    private final double mRatio;
    private final double mBurstCount;
    private double mTokens;

    /**
     * Creates a full budget.
     *
     * @param ratio retries per request, 0 or more
     * @param burstCount most retries at once, 1 or more
     */
    public RetryBudget(double ratio, int burstCount) {
        mRatio = ratio;
        mBurstCount = burstCount;
        mTokens = burstCount;
    }

    /** Counts a first attempt. */
    public synchronized void onRequest() {
        mTokens = Math.min(mBurstCount, mTokens + mRatio);
    }

    /**
     * Takes the right to one retry.
     *
     * @return false if the budget is used up
     */
    public synchronized boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
