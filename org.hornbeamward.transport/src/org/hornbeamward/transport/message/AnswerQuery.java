package org.hornbeamward.transport.message;

/**
 * Asks the claimant of a request for its answer.
 *
 * @param requestId chosen by the asker
 * @param incarnation incarnation that made the claim
 * @param sequence number of the claim there
 * @param remainingMillis how long the asker waits for a request in progress
 * @param keyHashHigh upper half of the hash of the idempotency key
 * @param keyHashLow lower half
 */
public record AnswerQuery(
        long requestId,
        long incarnation,
        long sequence,
        long remainingMillis,
        long keyHashHigh,
        long keyHashLow)
        implements PeerMessage {}
