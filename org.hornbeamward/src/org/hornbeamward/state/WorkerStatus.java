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

/** One registered worker. Changed only by the thread that applies the log. */
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
     * Returns the worker.
     *
     * @return its id
     */
    public WorkerId worker() {
        return mRegistration.worker();
    }

    /**
     * Returns what the worker declared.
     *
     * @return incarnation, place, capacity and address
     */
    public RegisterWorker registration() {
        return mRegistration;
    }

    /**
     * Returns the tasks whose resources are held here, in whatever state.
     *
     * @return unmodifiable view from task to the token of its placement
     */
    public SortedMap<TaskId, Long> tasks() {
        return Collections.unmodifiableSortedMap(mTasks);
    }

    /**
     * Returns what is committed.
     *
     * @return sum of the declared resources of all tasks held here
     */
    public Resources committed() {
        return mCommitted;
    }

    /**
     * Returns what is free.
     *
     * @return capacity less what is committed
     */
    public Resources free() {
        return mRegistration.capacity().minus(mCommitted);
    }

    /**
     * Tells whether the worker takes no placements because it failed tasks of several jobs.
     *
     * @return true while quarantined
     */
    public boolean quarantined() {
        return mQuarantined;
    }

    /**
     * Returns the evidence against the worker.
     *
     * @return unmodifiable view of the jobs of which tasks failed here since the last success
     */
    public SortedSet<JobId> failedJobs() {
        return Collections.unmodifiableSortedSet(mFailedJobs);
    }
}
