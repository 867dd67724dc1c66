package org.hornbeamward.schedule.decide;

import java.util.Map;
import org.hornbeamward.schedule.policy.ResidentTask;

/** A placement as this decider has followed it. */
final class Placement {
    final ResidentTask mTask;

    /** When this decider first saw the placement. */
    final long mFirstSeenNanos;

    /** False if the placement is older than this decider, so its start is unknown. */
    final boolean mStartKnown;

    /** True if the task started without a checkpoint, so its run covers the whole work. */
    final boolean mFresh;

    /** Core seconds per class on the worker up to the start. */
    final Map<String, Double> mCoreSecondsAtStart;

    /** Time of the last recorded checkpoint, or of the start. */
    long mCheckpointNanos;

    Placement(
            ResidentTask task,
            long nowNanos,
            boolean startKnown,
            boolean fresh,
            Map<String, Double> coreSecondsAtStart) {
        mTask = task;
        mFirstSeenNanos = nowNanos;
        mCheckpointNanos = nowNanos;
        mStartKnown = startKnown;
        mFresh = fresh;
        mCoreSecondsAtStart = coreSecondsAtStart;
    }
}
