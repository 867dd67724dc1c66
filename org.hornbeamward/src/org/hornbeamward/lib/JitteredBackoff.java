package org.hornbeamward.lib;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter. Source: Brooker, "Exponential Backoff And Jitter", AWS
 * Architecture Blog, 2015. Not thread-safe.
 */
public final class JitteredBackoff {
    private static final int MAX_DOUBLINGS = 30;

    private final RandomGenerator mRandom;
    private final long mFirstMillis;
    private final long mLimitMillis;
    private int mFailureCount;

    /**
     * Creates a backoff in its initial state.
     *
     * @param random source of the jitter
     * @param firstMillis upper bound of the first wait, above 0
     * @param limitMillis upper bound of every wait
     */
    public JitteredBackoff(RandomGenerator random, long firstMillis, long limitMillis) {
        mRandom = random;
        mFirstMillis = firstMillis;
        mLimitMillis = limitMillis;
    }

    /**
     * Returns the wait before the next attempt, after one more failure.
     *
     * @return milliseconds between 1 and the current bound, which doubles with each failure
     */
    public long nextWaitMillis() {
        int doublings = Math.min(mFailureCount, MAX_DOUBLINGS);
        mFailureCount++;
        long boundMillis = Math.min(mLimitMillis, mFirstMillis << doublings);
        return 1 + mRandom.nextLong(Math.max(1, boundMillis));
    }

    /** Resets the bound to its first value, after a success. */
    public void reset() {
        mFailureCount = 0;
    }
}
