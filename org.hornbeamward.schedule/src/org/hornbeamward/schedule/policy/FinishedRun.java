package org.hornbeamward.schedule.policy;

import java.util.Map;
import org.hornbeamward.command.JobSpec;

/**
 * A batch task that ran from its start to its end in one placement.
 *
 * @param job its job
 * @param runNanos time from placement to end
 * @param meanCores mean declared cores per class of the other tasks on the worker in that time
 */
public record FinishedRun(JobSpec job, long runNanos, Map<String, Double> meanCores) {}
