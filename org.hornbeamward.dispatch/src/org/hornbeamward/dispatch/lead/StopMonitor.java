package org.hornbeamward.dispatch.lead;

import java.util.Collection;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;
import org.jspecify.annotations.Nullable;

/** Measures how long stops take and reports runs that are not stopped. Runs on the loop. */
final class StopMonitor {
    /** Time after which a stop is overdue; the platforms give workers up to 0.9 s for it. */
    private static final long OVERDUE_MILLIS = 1_000;

    /** Minimum time between two log lines. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final Loop mLoop;
    private final NodeMetrics mMetrics;
    private long mCheckedMillis;

    StopMonitor(Loop loop, NodeMetrics metrics) {
        mLoop = loop;
        mMetrics = metrics;
        mCheckedMillis = loop.nowMillis();
    }

    /** Records the end of a run that had to be stopped; others are ignored. */
    void runGone(Run run) {
        if (run.stoppingSinceMillis != Run.NEVER) {
            mMetrics.recordStop(mLoop.nowMillis() - run.stoppingSinceMillis);
        }
    }

    /**
     * Logs the runs whose stop is overdue if an interval has passed and there are any.
     *
     * @param workers all workers
     */
    void logIfDue(Collection<WorkerSession> workers) {
        long now = mLoop.nowMillis();
        if (now - mCheckedMillis < LOG_INTERVAL_MILLIS) {
            return;
        }
        mCheckedMillis = now;
        int overdueCount = 0;
        int answeringCount = 0;
        Run longest = null;
        for (WorkerSession worker : workers) {
            for (Run run : worker.runs()) {
                if (isOverdue(run, now)) {
                    overdueCount++;
                    answeringCount += worker.answers() ? 1 : 0;
                    longest = earlier(longest, run);
                }
            }
        }
        mMetrics.setStopsOverdue(overdueCount);
        if (longest != null) {
            LogEvent.STOPS_OVERDUE.log(
                    overdueCount,
                    answeringCount,
                    longest,
                    now - longest.stoppingSinceMillis,
                    longest.stopOrderCount,
                    longest.stopOutcome);
        }
    }

    /** Resets the gauge when this entry no longer leads. */
    void close() {
        mMetrics.setStopsOverdue(0);
    }

    private static boolean isOverdue(Run run, long nowMillis) {
        return run.stoppingSinceMillis != Run.NEVER
                && run.state != Run.State.DECIDED
                && nowMillis - run.stoppingSinceMillis > OVERDUE_MILLIS;
    }

    private static Run earlier(@Nullable Run first, Run second) {
        return first != null && first.stoppingSinceMillis <= second.stoppingSinceMillis
                ? first
                : second;
    }
}
