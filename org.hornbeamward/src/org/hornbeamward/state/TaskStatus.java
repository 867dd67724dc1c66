package org.hornbeamward.state;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/** The status of a task. Changed only by the thread that applies the log. */
public final class TaskStatus {
    private static final SortedSet<WorkerId> NO_WORKERS =
            Collections.unmodifiableSortedSet(new TreeSet<>());

    final TaskId mTask;
    TaskState mState = new TaskState.Pending();
    long mCheckpoint;
    int mPlacementCount;
    int mEvictionCount;
    SortedSet<WorkerId> mFailedWorkers = NO_WORKERS;

    TaskStatus(TaskId task) {
        mTask = task;
    }

    /**
     * Returns the id of the task.
     *
     * @return its id
     */
    public TaskId task() {
        return mTask;
    }

    /**
     * Returns the state of the task.
     *
     * @return its state
     */
    public TaskState state() {
        return mState;
    }

    /**
     * Returns the checkpoint from which the task resumes.
     *
     * @return number of the last recorded checkpoint, 0 if none
     */
    public long checkpoint() {
        return mCheckpoint;
    }

    /**
     * Returns how often the task was placed.
     *
     * @return number of accepted placements
     */
    public int placementCount() {
        return mPlacementCount;
    }

    /**
     * Returns how often the task was evicted.
     *
     * @return number of ended placements that were stopped for a reason other than cancellation
     */
    public int evictionCount() {
        return mEvictionCount;
    }

    /**
     * Returns the workers on which the task failed. The task is not placed on them again.
     *
     * @return unmodifiable view
     */
    public SortedSet<WorkerId> failedWorkers() {
        return Collections.unmodifiableSortedSet(mFailedWorkers);
    }

    void addFailedWorker(WorkerId worker) {
        SortedSet<WorkerId> workers = new TreeSet<>(mFailedWorkers);
        workers.add(worker);
        mFailedWorkers = workers;
    }

    void clearFailedWorkers() {
        mFailedWorkers = NO_WORKERS;
    }
}
