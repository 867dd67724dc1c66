package org.hornbeamward.route.claim;

/**
 * One claim of a record.
 *
 * @param key what is claimed
 * @param digest digest of method, path and body
 * @param sequence number of the claim at its incarnation; a later claim of the same incarnation for
 *     the same key has a higher one, so that a claim that was given up is told from its successor
 */
public record Claim(ClaimKey key, long digest, long sequence) {}
