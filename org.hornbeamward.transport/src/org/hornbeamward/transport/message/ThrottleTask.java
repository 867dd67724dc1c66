package org.hornbeamward.transport.message;

/**
 * Limits the CPU that a task may use.
 *
 * @param epoch membership epoch of the sender
 * @param token fencing token of the placement
 * @param throttlePercent percentage of the declared CPU, 1 to 100
 */
public record ThrottleTask(long epoch, long token, int throttlePercent) implements WorkerMessage {}
