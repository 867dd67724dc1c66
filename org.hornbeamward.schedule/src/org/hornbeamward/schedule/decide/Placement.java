package org.hornbeamward.schedule.decide;

import java.util.Map;
import org.hornbeamward.schedule.policy.ResidentTask;

/** A placement of a task, as observed by this decider. */
final class Placement {
    final ResidentTask mTask;

    /** Time at which this decider first observed the placement. */
    final long mFirstSeenNanos;

    /** False if the placement is older than this decider, so that its start time is unknown. */
    final boolean mStartKnown;

    final WorkerModel mWorker;

    /**
     * Core seconds accumulated on the worker per class, at the last checkpoint, or at the first
     * observation if there is none.
     */
    Map<String, Double> mCoreSecondsAtCheckpoint;

    /** Number of the last checkpoint of this placement; 0 if none. */
    long mCheckpointNumber;

    /** Time of the last recorded checkpoint, or of the first observation if there is none. */
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
        mCoreSecondsAtCheckpoint = coreSeconds;
    }
}
