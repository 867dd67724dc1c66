package org.hornbeamward.schedule.policy;

import java.util.List;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.schedule.usage.UsageSample;

/**
 * Selects among the workers on which a task fits and reduces batch work that slows down services.
 * An instance belongs to one decider and is confined to its thread. Implementations are
 * deterministic and perform no I/O.
 */
public interface PlacementPolicy {

    /** Creates policies. Factories are registered by name with the kernel. */
    interface Factory {
        /**
         * Creates a policy without observations.
         *
         * @return a new policy
         */
        PlacementPolicy create();
    }

    /**
     * Returns whether measured use above the declared sizes reduces the free resources.
     *
     * @return true if {@link WorkerView#free()} must account for measured use
     */
    boolean usesMeasurements();

    /**
     * Scores a worker for a task that fits on it.
     *
     * @param job the task's job
     * @param worker the worker
     * @return the score, higher is better; negative infinity rules out the worker
     */
    double score(JobSpec job, WorkerView worker);

    /**
     * Learns from a sample.
     *
     * @param sample newer than all earlier samples of that worker
     * @param worker the current view of the worker
     * @param nowNanos the decider's clock
     */
    void observe(UsageSample sample, WorkerView worker, long nowNanos);

    /**
     * Learns from the progress of a batch task.
     *
     * @param progress the progress between two checkpoints
     */
    void observeProgress(Progress progress);

    /**
     * Returns the minimum score at which a batch task that is not urgent is placed. A policy may
     * keep capacity free for a while for a task that fits better.
     *
     * @param waitedNanos time since the job was first tried
     * @param idleNanos time since the tasks placed on the worker last changed
     * @return the minimum score; must decrease without bound as the times increase
     */
    double threshold(long waitedNanos, long idleNanos);

    /**
     * Proposes reductions on a worker for which a new sample was observed.
     *
     * @param worker the worker
     * @param nowNanos the decider's clock
     * @return reductions, usually none
     */
    List<Reduction> proposeReductions(WorkerView worker, long nowNanos);

    /**
     * Rates a batch job among the oldest jobs of its team that fit on a worker; the job with the
     * highest rating is placed first. The rating must increase without bound with the waiting time.
     *
     * @param score score of the job's best worker
     * @param waitedNanos time since the job was first tried
     * @return the rating
     */
    double preference(double score, long waitedNanos);
}
