package org.hornbeamward.schedule.worker;

import static org.hornbeamward.schedule.worker.SupervisorPeriods.REPEAT_NANOS;

import org.jspecify.annotations.Nullable;

/** What was exchanged with a worker about one placement. */
final class TaskContact {
    int mStartCount;
    @Nullable Long mStartSentNanos;
    @Nullable Long mStopSentNanos;
    @Nullable Long mCheckpointSentNanos;
    @Nullable Long mCheckpointDeadlineNanos;
    @Nullable Long mEndEmittedNanos;
    @Nullable Long mCheckpointRecordedNanos;

    /** Checkpoint known when the stop began; a higher one is the checkpoint that was asked for. */
    long mCheckpointBeforeStop;

    /** Number of the last status before the refusal of this token as old; -1 without refusal. */
    long mRefusedAfterStatus = -1;

    /** Forgets messages that may have been lost with the link. */
    void onLinkLost() {
        mStartSentNanos = null;
        mStopSentNanos = null;
        mCheckpointSentNanos = null;
        mRefusedAfterStatus = -1;
    }

    static boolean due(@Nullable Long lastNanos, long nowNanos) {
        return due(lastNanos, REPEAT_NANOS, nowNanos);
    }

    static boolean due(@Nullable Long lastNanos, long periodNanos, long nowNanos) {
        return lastNanos == null || nowNanos - lastNanos >= periodNanos;
    }
}
