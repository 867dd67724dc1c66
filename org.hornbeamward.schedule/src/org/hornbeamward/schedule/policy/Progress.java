package org.hornbeamward.schedule.policy;

import java.util.Map;
import org.hornbeamward.command.JobSpec;

/**
 * Progress of a batch task between two checkpoints of one placement.
 *
 * @param job job of the task
 * @param perSecond increase of the checkpoint number per second, greater than 0; comparable only
 *     within a job
 * @param meanCores mean declared cores per class of the other tasks on the worker during that time
 * @param workerCores number of cores of the worker
 */
public record Progress(
        JobSpec job, double perSecond, Map<String, Double> meanCores, double workerCores) {
    /** Makes an immutable copy of the map. */
    public Progress {
        meanCores = Map.copyOf(meanCores);
    }
}
