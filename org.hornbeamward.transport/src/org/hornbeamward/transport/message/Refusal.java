package org.hornbeamward.transport.message;

/**
 * Reports that a worker refused a message.
 *
 * @param token fencing token in the refused message, 0 if it has none
 * @param reason why the message was refused
 * @param epoch highest membership epoch that the worker has seen
 */
public record Refusal(long token, RefusalReason reason, long epoch) implements WorkerMessage {}
