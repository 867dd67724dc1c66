package org.hornbeamward.route.slot;

import java.util.OptionalInt;

/**
 * Estimates how many slots this member could use, from used slots and queued requests. It rises
 * quickly and falls slowly, so that a short lull does not cost slots. Confined to one thread.
 */
public final class DemandEstimate {
    private static final double RISE_SECONDS = 0.5;
    private static final double FALL_SECONDS = 10.0;
    private static final double PUBLISH_CHANGE = 0.2;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mEstimate;
    private long mLastNanos;
    private boolean mStarted;
    private int mPublished;

    /** Creates an estimate of 0. */
    public DemandEstimate() {}

    /**
     * Raises the estimate of a new member to what the others need, since the load balancer sends it
     * as much as the others. To be called once, when the member has joined.
     *
     * @param firstCount mean demand of the other members, see {@link SlotPlanner#meanDemand}
     */
    public void startFrom(int firstCount) {
        mEstimate = Math.max(mEstimate, firstCount);
    }

    /**
     * Adds a sample.
     *
     * @param usedCount slots in use now
     * @param queuedCount requests that wait for a slot now
     * @param nowNanos monotonic time
     */
    public void sample(int usedCount, int queuedCount, long nowNanos) {
        double value = (double) usedCount + queuedCount;
        if (!mStarted) {
            mStarted = true;
            mEstimate = Math.max(mEstimate, value);
        } else {
            double seconds = (nowNanos - mLastNanos) / NANOS_PER_SECOND;
            double period = value > mEstimate ? RISE_SECONDS : FALL_SECONDS;
            mEstimate += (value - mEstimate) * (1 - Math.exp(-seconds / period));
        }
        mLastNanos = nowNanos;
    }

    /**
     * Returns the estimate to publish.
     *
     * @return the new demand if it differs by over 20% from the one published last, which it
     *     replaces; otherwise empty
     */
    public OptionalInt takeChange() {
        int demand = (int) Math.ceil(mEstimate - 1e-6);
        if (Math.abs(demand - mPublished) <= PUBLISH_CHANGE * mPublished) {
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
