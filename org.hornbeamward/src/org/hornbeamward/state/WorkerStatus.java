package org.hornbeamward.state;

import java.util.Collections;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/** The status of a registered worker. Changed only by the thread that applies the log. */
public final class WorkerStatus {
    final RegisterWorker mRegistration;
    final SortedMap<TaskId, Long> mTasks = new TreeMap<>();
    final SortedSet<JobId> mFailedJobs = new TreeSet<>();
    Resources mCommitted = Resources.NONE;
    boolean mQuarantined;

    WorkerStatus(RegisterWorker registration) {
        mRegistration = registration;
    }

    /**
     * Returns the id of the worker.
     *
     * @return its id
     */
    public WorkerId worker() {
        return mRegistration.worker();
    }

    /**
     * Returns the worker's registration.
     *
     * @return its incarnation, location, capacity and address
     */
    public RegisterWorker registration() {
        return mRegistration;
    }

    /**
     * Returns the tasks that hold resources on this worker, whether placed or stopping.
     *
     * @return unmodifiable view from task to the fencing token of its placement
     */
    public SortedMap<TaskId, Long> tasks() {
        return Collections.unmodifiableSortedMap(mTasks);
    }

    /**
     * Returns the committed resources.
     *
     * @return sum of the declared resources of all tasks that hold resources on this worker
     */
    public Resources committed() {
        return mCommitted;
    }

    /**
     * Returns the free resources.
     *
     * @return capacity minus committed resources
     */
    public Resources free() {
        return mRegistration.capacity().minus(mCommitted);
    }

    /**
     * Tells whether the worker receives no placements because tasks of several jobs failed on it.
     *
     * @return true while quarantined
     */
    public boolean quarantined() {
        return mQuarantined;
    }

    /**
     * Returns the jobs whose failures count towards quarantine of this worker.
     *
     * @return unmodifiable view of the jobs whose tasks failed here since the last finished task
     */
    public SortedSet<JobId> failedJobs() {
        return Collections.unmodifiableSortedSet(mFailedJobs);
    }
}
