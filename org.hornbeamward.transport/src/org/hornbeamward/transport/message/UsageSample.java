package org.hornbeamward.transport.message;

/**
 * Measured use of one task.
 *
 * @param token token of its placement
 * @param ageMillis time between the measurement and sending
 * @param cpuMillicores processors used
 * @param memoryMib memory used
 * @param slowdownPermille time taken for a unit of work over the time it takes alone, times 1000
 */
public record UsageSample(
        long token, long ageMillis, int cpuMillicores, int memoryMib, int slowdownPermille) {}
