package org.hornbeamward.route.retry;

/**
 * Refuses requests that would reach the end of the queue too late, so that at overload slots work
 * on requests whose callers still wait. Safe for use by any thread.
 */
public final class Admission {
    private static final double SAMPLE_WEIGHT = 0.05;

    /**
     * Share of the remaining time that may be spent in the queue. The rest covers service times
     * above the mean; with a share of 1, goodput at twice the capacity was 0.89 of its peak.
     */
    private static final double MAX_WAIT_SHARE = 0.5;

    private final int mMaxQueueCount;
    private final boolean mShedding;
    private double mMeanNanos;

    /**
     * Creates an admission that has seen no request.
     *
     * @param maxQueueCount most requests that may wait
     * @param shedding false to refuse only what is beyond the queue or its deadline
     */
    public Admission(int maxQueueCount, boolean shedding) {
        mShedding = shedding;
        mMaxQueueCount = maxQueueCount;
    }

    /**
     * Notes how long a request kept its slot.
     *
     * @param nanos duration
     */
    public synchronized void sample(long nanos) {
        mMeanNanos += mMeanNanos == 0 ? nanos : (nanos - mMeanNanos) * SAMPLE_WEIGHT;
    }

    /**
     * Decides on a request that would have to wait.
     *
     * @param queuedCount requests that wait already
     * @param slotCount slots that serve the queue
     * @param remainingNanos time until the request's deadline
     * @return false if it should be refused at once
     */
    public synchronized boolean admits(int queuedCount, int slotCount, long remainingNanos) {
        if (queuedCount >= mMaxQueueCount) {
            return false;
        }
        double waitNanos = mMeanNanos * (queuedCount + 1) / Math.max(1, slotCount);
        return !mShedding
                || (waitNanos <= remainingNanos * MAX_WAIT_SHARE
                        && waitNanos + mMeanNanos <= remainingNanos);
    }

    /**
     * Decides on a request that has waited and could be sent now.
     *
     * @param remainingNanos time until the request's deadline
     * @return false if an answer within the deadline is unlikely
     */
    public synchronized boolean isWorthSending(long remainingNanos) {
        return remainingNanos > 0 && (!mShedding || remainingNanos >= mMeanNanos / 2);
    }
}
