package org.hornbeamward.pgm.entry;

import java.util.concurrent.TimeUnit;

/** When the regular work of the control duty is due. */
final class Periods {
    final Timer mPing = new Timer(TimeUnit.MILLISECONDS.toNanos(500));

    /** Ends and checkpoints of tasks share records; each record has a head of about 43 bytes. */
    final Timer mWorkerCommands = new Timer(TimeUnit.MILLISECONDS.toNanos(200));

    final Timer mSlots = new Timer(TimeUnit.MILLISECONDS.toNanos(250));
    final Timer mExpiry = new Timer(TimeUnit.MILLISECONDS.toNanos(20));
    final Timer mRenew = new Timer(TimeUnit.SECONDS.toNanos(5));
    final Timer mUsage = new Timer(TimeUnit.SECONDS.toNanos(5));
    final Timer mFigures = new Timer(TimeUnit.SECONDS.toNanos(60));

    /** Fires at most once a period. */
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
