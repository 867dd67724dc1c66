package org.hornbeamward.transport.message;

/**
 * Asks the member that claimed an idempotency key for the response to the request.
 *
 * @param requestId id of this query, chosen by the sender
 * @param incarnation incarnation of the member that made the claim
 * @param sequence number of the claim within that incarnation
 * @param remainingMillis how long the sender waits if the request is still in progress
 * @param keyHashHigh upper half of the hash of the idempotency key
 * @param keyHashLow lower half of that hash
 */
public record AnswerQuery(
        long requestId,
        long incarnation,
        long sequence,
        long remainingMillis,
        long keyHashHigh,
        long keyHashLow)
        implements PeerMessage {}
