package org.hornbeamward.transport.message;

/**
 * Asks a worker to write a checkpoint of a task now; it answers with a {@link TaskReport}.
 *
 * @param epoch membership epoch of the sender
 * @param token fencing token of the placement
 */
public record CheckpointTask(long epoch, long token) implements WorkerMessage {}
