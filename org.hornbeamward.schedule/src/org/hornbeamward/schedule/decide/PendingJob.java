package org.hornbeamward.schedule.decide;

import java.util.Iterator;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.JobStatus;
import org.jspecify.annotations.Nullable;

/** A job with pending tasks, for one call of the decider. */
final class PendingJob {
    /** Priority tiers of the queue, highest first. */
    enum Tier {
        URGENT_SERVICE,
        URGENT_BATCH,
        SERVICE,
        BATCH
    }

    final JobStatus mJob;
    final Tier mTier;
    final long mWaitingSinceNanos;
    private final Iterator<TaskId> mTasks;
    private final InFlightDecisions mInFlight;
    private @Nullable TaskId mHead;

    PendingJob(
            ClusterState state, JobStatus job, long waitingSinceNanos, InFlightDecisions inFlight) {
        mJob = job;
        mTier = tierOf(job.spec());
        mWaitingSinceNanos = waitingSinceNanos;
        mInFlight = inFlight;
        mTasks = state.work().pending().tailSet(new TaskId(job.spec().id(), 0)).iterator();
        advance();
    }

    static Tier tierOf(JobSpec spec) {
        boolean service = spec.kind() == JobKind.SERVICE;
        if (spec.urgent()) {
            return service ? Tier.URGENT_SERVICE : Tier.URGENT_BATCH;
        }
        return service ? Tier.SERVICE : Tier.BATCH;
    }

    JobSpec spec() {
        return mJob.spec();
    }

    /** Returns the next task without a decision in flight, or null if the job has none left. */
    @Nullable TaskId head() {
        return mHead;
    }

    void advance() {
        mHead = null;
        while (mTasks.hasNext()) {
            TaskId task = mTasks.next();
            if (!task.job().equals(mJob.spec().id())) {
                return;
            }
            if (!mInFlight.isPlacing(task)) {
                mHead = task;
                return;
            }
        }
    }
}
