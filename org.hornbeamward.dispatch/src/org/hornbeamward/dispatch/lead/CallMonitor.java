package org.hornbeamward.dispatch.lead;

import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;

/** Measures the answer times of the leader's calls to all workers. Runs on the loop. */
final class CallMonitor {
    /** Answer time from which it is logged; workers answer within a few milliseconds. */
    private static final long LOGGED_ANSWER_MILLIS = 300;

    /** Minimum time between two log lines. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final Loop mLoop;
    private final NodeMetrics mMetrics;
    private int mInFlightCount;
    private int mAnsweredCount;
    private int mUnansweredCount;
    private long mLongestMillis;
    private long mSinceMillis;

    CallMonitor(Loop loop, NodeMetrics metrics) {
        mLoop = loop;
        mMetrics = metrics;
        mSinceMillis = loop.nowMillis();
    }

    void sent() {
        mInFlightCount++;
    }

    /**
     * Records that a call has been answered or given up.
     *
     * @param sentMillis monotonic time at which it was sent
     * @param waitMillis how long the worker was asked to wait
     * @param answered whether there was an answer
     */
    void ended(long sentMillis, long waitMillis, boolean answered) {
        mInFlightCount--;
        long now = mLoop.nowMillis();
        long lateMillis = Math.max(0, now - sentMillis - waitMillis);
        mMetrics.recordCall(lateMillis);
        if (answered) {
            mAnsweredCount++;
            mLongestMillis = Math.max(mLongestMillis, lateMillis);
        } else {
            mUnansweredCount++;
        }
        if (now - mSinceMillis >= LOG_INTERVAL_MILLIS) {
            if (mLongestMillis >= LOGGED_ANSWER_MILLIS) {
                LogEvent.CALLS_SLOW.log(
                        now - mSinceMillis,
                        mAnsweredCount,
                        mLongestMillis,
                        mUnansweredCount,
                        mInFlightCount);
            }
            mAnsweredCount = 0;
            mUnansweredCount = 0;
            mLongestMillis = 0;
            mSinceMillis = now;
        }
    }
}
