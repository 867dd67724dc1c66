package org.hornbeamward.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.TaskId;
import org.jspecify.annotations.Nullable;

/** The status of a job and its tasks. Changed only by the thread that applies the log. */
public final class JobStatus {
    final JobSpec mSpec;
    final long mSubmitToken;
    final List<TaskStatus> mTasks;
    int mOpenTaskCount;
    boolean mCancelled;
    @Nullable String mRejectReason;

    JobStatus(JobSpec spec, long submitToken) {
        mSpec = spec;
        mSubmitToken = submitToken;
        mTasks = new ArrayList<>(spec.taskCount());
        for (int index = 0; index < spec.taskCount(); index++) {
            mTasks.add(new TaskStatus(new TaskId(spec.id(), index)));
        }
        mOpenTaskCount = spec.taskCount();
    }

    /**
     * Returns the job's declaration.
     *
     * @return the declaration that the caller submitted
     */
    public JobSpec spec() {
        return mSpec;
    }

    /**
     * Returns the job's position in the order of submission.
     *
     * @return token of its accepted submission
     */
    public long submitToken() {
        return mSubmitToken;
    }

    /**
     * Returns the tasks by index.
     *
     * @return unmodifiable view
     */
    public List<TaskStatus> tasks() {
        return Collections.unmodifiableList(mTasks);
    }

    /**
     * Tells whether every task has ended.
     *
     * @return true if no task of the job will run again
     */
    public boolean ended() {
        return mOpenTaskCount == 0;
    }

    /**
     * Tells whether the job was cancelled.
     *
     * @return true after an accepted cancellation
     */
    public boolean cancelled() {
        return mCancelled;
    }

    /**
     * Returns why the job can never run.
     *
     * @return the reason, reported to its owner, or null if the job was not rejected
     */
    public @Nullable String rejectReason() {
        return mRejectReason;
    }
}
