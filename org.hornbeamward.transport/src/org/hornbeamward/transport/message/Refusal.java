package org.hornbeamward.transport.message;

/**
 * Tells that a worker refused a message.
 *
 * @param token token of the refused message, 0 if it had none
 * @param reason the rule that refused it
 * @param epoch highest epoch that the worker has seen
 */
public record Refusal(long token, RefusalReason reason, long epoch) implements WorkerMessage {}
