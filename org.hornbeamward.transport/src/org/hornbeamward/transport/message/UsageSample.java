package org.hornbeamward.transport.message;

/**
 * Measured use of one task. The time of measurement is in the message around it.
 *
 * @param token token of its placement
 * @param cpuMillicores processors used
 * @param memoryMib memory used
 * @param latencyPermille for a service, observed answer time over the agreed period, times 1000; 0
 *     for a batch task
 * @param throttlePercent share of the declared processors that it may use, 100 if not throttled
 */
public record UsageSample(
        long token, int cpuMillicores, int memoryMib, int latencyPermille, int throttlePercent) {}
