package org.hornbeamward.schedule.usage;

import org.hornbeamward.lib.TaskId;

/**
 * Measured use of one task at the time of a sample.
 *
 * @param task the task
 * @param token fencing token of the placement
 * @param className class of work from its job
 * @param cpuMillicores processor use, mean since the last sample
 * @param memoryMib resident memory
 * @param throttlePercent share of its declared processors that it may use, 100 if not throttled
 */
public record TaskUsage(
        TaskId task,
        long token,
        String className,
        long cpuMillicores,
        long memoryMib,
        int throttlePercent) {}
