package org.hornbeamward.schedule.worker;

import static org.hornbeamward.schedule.worker.SupervisorPeriods.MESSAGE_RESEND_NANOS;

import org.jspecify.annotations.Nullable;

/** The messages and commands sent for one placement, and the worker's refusal. */
final class TaskMessageState {
    int mStartCount;
    @Nullable Long mStartSentNanos;
    @Nullable Long mStopSentNanos;
    @Nullable Long mCheckpointSentNanos;
    @Nullable Long mCheckpointDeadlineNanos;
    @Nullable Long mEndEmittedNanos;
    @Nullable Long mCheckpointRecordedNanos;

    /** Last checkpoint when the stop began; a higher number is the requested checkpoint. */
    long mCheckpointBeforeStop;

    /**
     * Count of status messages when the worker refused this token as old; -1 if it did not refuse.
     */
    long mRefusedAfterStatus = -1;

    /** Resets the state of messages that may have been lost with the link. */
    void onLinkLost() {
        mStartSentNanos = null;
        mStopSentNanos = null;
        mCheckpointSentNanos = null;
        mRefusedAfterStatus = -1;
    }

    static boolean due(@Nullable Long lastNanos, long nowNanos) {
        return due(lastNanos, MESSAGE_RESEND_NANOS, nowNanos);
    }

    static boolean due(@Nullable Long lastNanos, long periodNanos, long nowNanos) {
        return lastNanos == null || nowNanos - lastNanos >= periodNanos;
    }
}
