package org.hornbeamward.transport.message;

/**
 * Asks for a checkpoint now; answered by a {@link TaskReport}.
 *
 * @param epoch membership epoch of the sender
 * @param token token of the placement
 */
public record CheckpointTask(long epoch, long token) implements WorkerMessage {}
