package org.hornbeamward.dispatch.lead;

import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;

/** Measures the work of placement passes and the delay of their orders. Runs on the loop. */
final class PlacementMonitor {
    /** Minimum time between two log lines. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private static final long NANOS_PER_MICRO = 1_000;

    private final Loop mLoop;
    private final NodeMetrics mMetrics;
    private long mSinceMillis;
    private int mPassCount;
    private long mRankingNanos;
    private long mPlacingNanos;
    private long mLongestPassNanos;
    private long mLongestDelayMillis;
    private long mLookedAtCount;
    private int mPlacedCount;
    private int mMoveSearchCount;
    private long mMoveSearchNanos;
    private int mOrderCount;
    private long mLongestOrderDelayMillis;

    PlacementMonitor(Loop loop, NodeMetrics metrics) {
        mLoop = loop;
        mMetrics = metrics;
        mSinceMillis = loop.nowMillis();
    }

    /**
     * Records how long a pass was delayed, such as by a commit in flight.
     *
     * @param delayMillis time since it was requested
     */
    void passStarted(long delayMillis) {
        mMetrics.recordPassDelay(delayMillis);
        mLongestDelayMillis = Math.max(mLongestDelayMillis, delayMillis);
    }

    /**
     * Records the work of a pass.
     *
     * @param rankingNanos time to order the jobs
     * @param placingNanos time to choose workers
     * @param lookedAtCount number of workers looked at, once for each task
     * @param placedCount number of tasks placed
     */
    void passEnded(long rankingNanos, long placingNanos, long lookedAtCount, int placedCount) {
        mMetrics.recordPass(rankingNanos, placingNanos, lookedAtCount, placedCount);
        mPassCount++;
        mRankingNanos += rankingNanos;
        mPlacingNanos += placingNanos;
        mLongestPassNanos = Math.max(mLongestPassNanos, rankingNanos + placingNanos);
        mLookedAtCount += lookedAtCount;
        mPlacedCount += placedCount;
    }

    /**
     * Records a search for a worker to which a run could move.
     *
     * @param nanos time that it took
     */
    void moveSearched(long nanos) {
        mMetrics.recordMoveCheck(nanos);
        mMoveSearchCount++;
        mMoveSearchNanos += nanos;
    }

    /** Counts a task for which room is held. */
    void roomHeld() {
        mMetrics.recordRoomHeld();
    }

    /**
     * Records how long an order waited for its commit and for earlier orders.
     *
     * @param delayMillis time since the task was placed
     */
    void orderSent(long delayMillis) {
        mMetrics.recordOrderDelay(delayMillis);
        mOrderCount++;
        mLongestOrderDelayMillis = Math.max(mLongestOrderDelayMillis, delayMillis);
    }

    /**
     * Logs the work since the last line if an interval has passed and there was any.
     *
     * @param waitingOrderCount number of orders that are not sent yet
     */
    void logIfDue(int waitingOrderCount) {
        long now = mLoop.nowMillis();
        if (now - mSinceMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        if (mPassCount > 0 || mMoveSearchCount > 0 || mOrderCount > 0) {
            LogEvent.PLACEMENT_WORK.log(
                    now - mSinceMillis,
                    mPassCount,
                    mRankingNanos / NANOS_PER_MICRO,
                    mPlacingNanos / NANOS_PER_MICRO,
                    mPlacedCount,
                    mLookedAtCount,
                    mMoveSearchNanos / NANOS_PER_MICRO,
                    mMoveSearchCount,
                    mLongestPassNanos / NANOS_PER_MICRO,
                    mLongestDelayMillis,
                    mOrderCount,
                    mLongestOrderDelayMillis,
                    waitingOrderCount);
        }
        mSinceMillis = now;
        mPassCount = 0;
        mRankingNanos = 0;
        mPlacingNanos = 0;
        mLongestPassNanos = 0;
        mLongestDelayMillis = 0;
        mLookedAtCount = 0;
        mPlacedCount = 0;
        mMoveSearchCount = 0;
        mMoveSearchNanos = 0;
        mOrderCount = 0;
        mLongestOrderDelayMillis = 0;
    }
}
