package org.hornbeamward.transport.message;

/**
 * Asks the claimant of a request for its answer.
 *
 * @param requestId chosen by the asker
 * @param keyHashHigh upper half of the hash of the idempotency key
 * @param keyHashLow lower half
 */
public record AnswerQuery(long requestId, long keyHashHigh, long keyHashLow)
        implements PeerMessage {}
