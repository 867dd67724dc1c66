package org.hornbeamward.transport.message;

/**
 * Measured resource usage of one task. The enclosing message holds the time of measurement.
 *
 * @param token fencing token of the placement
 * @param cpuMillicores CPU used
 * @param memoryMib memory used
 * @param latencyPermille for a service, the observed response time divided by the agreed period,
 *     times 1000; 0 for a batch task
 * @param throttlePercent percentage of the declared CPU that the task may use, 100 if it is not
 *     throttled
 */
public record UsageSample(
        long token, int cpuMillicores, int memoryMib, int latencyPermille, int throttlePercent) {}
