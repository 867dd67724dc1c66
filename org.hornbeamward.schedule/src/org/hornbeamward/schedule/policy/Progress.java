package org.hornbeamward.schedule.policy;

import java.util.Map;
import org.hornbeamward.command.JobSpec;

/**
 * Progress of a batch task between two checkpoints of one placement.
 *
 * @param job its job
 * @param perSecond growth of the checkpoint number per second, above 0; comparable within a job
 * @param meanCores mean declared cores per class of the other tasks on the worker in that time
 * @param workerCores cores of the worker
 */
public record Progress(
        JobSpec job, double perSecond, Map<String, Double> meanCores, double workerCores) {
    /** Copies the map. */
    public Progress {
        meanCores = Map.copyOf(meanCores);
    }
}
