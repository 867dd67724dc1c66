package org.hornbeamward.route.claim;

/**
 * One claim in a {@link ClaimRecord}.
 *
 * @param key the claimed key
 * @param digest digest of method, path and body
 * @param sequence sequence number of the claim within its incarnation. A later claim of the same
 *     incarnation for the same key has a higher number, which distinguishes it from an earlier
 *     claim that was given up.
 */
public record Claim(ClaimKey key, long digest, long sequence) {}
