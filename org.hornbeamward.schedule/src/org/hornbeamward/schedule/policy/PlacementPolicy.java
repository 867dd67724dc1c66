package org.hornbeamward.schedule.policy;

import java.util.List;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.schedule.usage.UsageSample;

/**
 * Chooses among workers on which a task fits and reduces batch work that harms services. An
 * instance belongs to one decider and is confined to its thread. Implementations are deterministic
 * and do no I/O.
 */
public interface PlacementPolicy {

    /** Creates policies; registered by name with the kernel. */
    interface Factory {
        /**
         * Creates a policy without observations.
         *
         * @return a new policy
         */
        PlacementPolicy create();
    }

    /**
     * Tells whether measured use above the declarations reduces the free resources.
     *
     * @return true if {@link WorkerView#free()} is to be tightened by measurements
     */
    boolean usesMeasurements();

    /**
     * Rates a worker for a task that fits on it.
     *
     * @param job the task's job
     * @param worker the worker
     * @return the higher, the better; negative infinity refuses the worker
     */
    double score(JobSpec job, WorkerView worker);

    /**
     * Learns from a sample.
     *
     * @param sample newer than all earlier samples of that worker
     * @param worker the worker as it is now
     * @param nowNanos the decider's clock
     */
    void observe(UsageSample sample, WorkerView worker, long nowNanos);

    /**
     * Learns from the progress of a batch task.
     *
     * @param progress what was seen between two checkpoints
     */
    void observeProgress(Progress progress);

    /**
     * Tells the least score at which a batch task that is not urgent is placed. A policy may leave
     * room free for a while for a task that fits better.
     *
     * @param waitedNanos time since the job was first tried
     * @param idleNanos time since the worker last took or lost a task
     * @return the least score; must fall without bound as the times grow
     */
    double threshold(long waitedNanos, long idleNanos);

    /**
     * Proposes reductions on a worker of which a new sample was observed.
     *
     * @param worker the worker
     * @param nowNanos the decider's clock
     * @return reductions, usually none
     */
    List<Reduction> reduce(WorkerView worker, long nowNanos);

    /**
     * Rates a batch job among the oldest jobs of its team that have room; the highest is placed
     * first. The rate must grow without bound with the waiting time.
     *
     * @param score score of the job's best worker
     * @param waitedNanos time since the job was first tried
     * @return the rate
     */
    double preference(double score, long waitedNanos);
}
