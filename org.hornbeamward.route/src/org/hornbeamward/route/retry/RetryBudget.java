package org.hornbeamward.route.retry;

/**
 * Limits retries to a share of the requests by a token bucket, so that retries cannot multiply the
 * load during an outage. Thread-safe.
 */
public final class RetryBudget {
    private final double mRatio;
    private final double mBurstCount;
    private double mTokens;

    /**
     * Creates a full budget.
     *
     * @param ratio retries allowed per request, 0 or more
     * @param burstCount capacity of the bucket, that is, maximum number of retries at once; 1 or
     *     more
     */
    public RetryBudget(double ratio, int burstCount) {
        mRatio = ratio;
        mBurstCount = burstCount;
        mTokens = burstCount;
    }

    /** Counts the first attempt of a request, which adds to the budget. */
    public synchronized void onRequest() {
        mTokens = Math.min(mBurstCount, mTokens + mRatio);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is exhausted
     */
    public synchronized boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
