package org.hornbeamward.route.slot;

import java.util.OptionalInt;

/**
 * Estimates how many slots this member could use, from used slots and queued requests, by
 * exponential smoothing. The estimate rises quickly and falls slowly, so that a short idle period
 * does not cost slots. Not thread-safe; confined to one thread.
 */
public final class DemandEstimate {
    private static final double RISE_TIME_CONSTANT_SECONDS = 0.5;
    private static final double FALL_TIME_CONSTANT_SECONDS = 10.0;
    private static final double PUBLISH_CHANGE_RATIO = 0.2;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mEstimate;
    private long mLastNanos;
    private boolean mHasSample;
    private int mPublished;

    /** Creates an estimate of 0. */
    public DemandEstimate() {}

    /**
     * Raises the estimate to the mean demand of the members if it is lower, since the load balancer
     * sends the same number of requests to each member. To be called when this process starts a new
     * incarnation and when it has loaded a replicated state.
     *
     * @param meanDemandCount mean published demand of all members, see {@link
     *     SlotPlanner#meanDemand}
     */
    public void raiseTo(int meanDemandCount) {
        mEstimate = Math.max(mEstimate, meanDemandCount);
    }

    /**
     * Adds a sample.
     *
     * @param usedCount slots in use now
     * @param queuedCount requests waiting for a slot now
     * @param nowNanos monotonic time
     */
    public void sample(int usedCount, int queuedCount, long nowNanos) {
        double demand = (double) usedCount + queuedCount;
        if (!mHasSample) {
            mHasSample = true;
            mEstimate = Math.max(mEstimate, demand);
        } else {
            double seconds = (nowNanos - mLastNanos) / NANOS_PER_SECOND;
            double timeConstantSeconds =
                    demand > mEstimate ? RISE_TIME_CONSTANT_SECONDS : FALL_TIME_CONSTANT_SECONDS;
            mEstimate += (demand - mEstimate) * (1 - Math.exp(-seconds / timeConstantSeconds));
        }
        mLastNanos = nowNanos;
    }

    /**
     * Returns the estimate if it is to be published.
     *
     * @return the new demand if it differs by more than 20% from the one published last, which it
     *     then replaces; otherwise empty
     */
    public OptionalInt takeChange() {
        int demand = (int) Math.ceil(mEstimate - 1e-6);
        if (Math.abs(demand - mPublished) <= PUBLISH_CHANGE_RATIO * mPublished) {
            return OptionalInt.empty();
        }
        mPublished = demand;
        return OptionalInt.of(demand);
    }

    /**
     * Returns the demand published last.
     *
     * @return number of slots
     */
    public int published() {
        return mPublished;
    }
}
