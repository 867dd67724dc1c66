package org.hornbeamward.schedule.usage;

import org.hornbeamward.lib.TaskId;

/**
 * Resource usage of one task in a sample.
 *
 * @param task task that was measured
 * @param token fencing token of the placement
 * @param className class name of its job
 * @param cpuMillicores mean processor use since the last sample
 * @param memoryMib resident memory
 * @param throttlePercent percentage of its declared processors that it may use; 100 if not
 *     throttled
 */
public record TaskUsage(
        TaskId task,
        long token,
        String className,
        long cpuMillicores,
        long memoryMib,
        int throttlePercent) {}
