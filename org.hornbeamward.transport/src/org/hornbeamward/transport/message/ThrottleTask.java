package org.hornbeamward.transport.message;

/**
 * Limits the processors of a task.
 *
 * @param epoch membership epoch of the sender
 * @param token token of the placement
 * @param levelPercent share of the declared processors, 1 to 100
 */
public record ThrottleTask(long epoch, long token, int levelPercent) implements WorkerMessage {}
