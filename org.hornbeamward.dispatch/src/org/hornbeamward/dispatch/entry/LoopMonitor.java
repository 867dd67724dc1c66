package org.hornbeamward.dispatch.entry;

import org.hornbeamward.dispatch.lead.NodeMetrics;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;

/**
 * Measures how late the event loop runs its timers, which shows whether the process has too little
 * processor time for its work. Runs on the loop.
 */
final class LoopMonitor {
    /** Interval of the timers that are measured; a tenth of the shortest timeout of a call. */
    private static final long SAMPLE_INTERVAL_MILLIS = 100;

    /** Lateness from which it is logged; a quarter of the timeout of calls to workers. */
    private static final long LOGGED_DELAY_MILLIS = 225;

    /** Minimum time between two log lines. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final Loop mLoop;
    private final NodeMetrics mMetrics;
    private long mLongestMillis;
    private long mLoggedMillis;

    LoopMonitor(Loop loop, NodeMetrics metrics) {
        mLoop = loop;
        mMetrics = metrics;
    }

    void start() {
        mLoggedMillis = mLoop.nowMillis();
        sample();
    }

    private void sample() {
        long dueMillis = mLoop.nowMillis() + SAMPLE_INTERVAL_MILLIS;
        mLoop.schedule(
                SAMPLE_INTERVAL_MILLIS,
                () -> {
                    sample();
                    measured(mLoop.nowMillis() - dueMillis);
                });
    }

    private void measured(long delayMillis) {
        mMetrics.recordLoopDelay(delayMillis);
        mLongestMillis = Math.max(mLongestMillis, delayMillis);
        long sinceMillis = mLoop.nowMillis() - mLoggedMillis;
        if (sinceMillis >= LOG_INTERVAL_MILLIS) {
            if (mLongestMillis >= LOGGED_DELAY_MILLIS) {
                LogEvent.LOOP_DELAYED.log(mLongestMillis, sinceMillis);
            }
            mLongestMillis = 0;
            mLoggedMillis = mLoop.nowMillis();
        }
    }
}
