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

    final WorkerModel mWorker;

    /** Core seconds per class on the worker up to the last checkpoint. */
    Map<String, Double> mCoreSeconds;

    /** Number of the last checkpoint of this placement, 0 if none. */
    long mCheckpoint;

    /** Time of the last recorded checkpoint, or of the start. */
    long mCheckpointNanos;

    Placement(
            ResidentTask task,
            WorkerModel worker,
            long nowNanos,
            boolean startKnown,
            Map<String, Double> coreSeconds) {
        mTask = task;
        mFirstSeenNanos = nowNanos;
        mCheckpointNanos = nowNanos;
        mStartKnown = startKnown;
        mWorker = worker;
        mCoreSeconds = coreSeconds;
    }
}
