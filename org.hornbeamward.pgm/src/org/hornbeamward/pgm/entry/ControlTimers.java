package org.hornbeamward.pgm.entry;

import java.util.concurrent.TimeUnit;

/** Timers of the control duty's periodic work. */
final class ControlTimers {
    final Timer mPing = new Timer(TimeUnit.MILLISECONDS.toNanos(500));

    /** Batches task ends and checkpoints, because each log record has about 43 bytes of header. */
    final Timer mWorkerCommands = new Timer(TimeUnit.MILLISECONDS.toNanos(200));

    final Timer mSlots = new Timer(TimeUnit.MILLISECONDS.toNanos(250));
    final Timer mExpiry = new Timer(TimeUnit.MILLISECONDS.toNanos(20));
    final Timer mRenew = new Timer(TimeUnit.SECONDS.toNanos(5));
    final Timer mUsage = new Timer(TimeUnit.SECONDS.toNanos(5));
    final Timer mFigures = new Timer(TimeUnit.SECONDS.toNanos(60));

    /** Is due at most once per period. */
    static final class Timer {
        private final long mPeriodNanos;
        private boolean mStarted;
        private long mDueNanos;

        Timer(long periodNanos) {
            mPeriodNanos = periodNanos;
        }

        boolean due(long nowNanos) {
            if (mStarted && nowNanos - mDueNanos < 0) {
                return false;
            }
            mStarted = true;
            mDueNanos = nowNanos + mPeriodNanos;
            return true;
        }
    }
}
