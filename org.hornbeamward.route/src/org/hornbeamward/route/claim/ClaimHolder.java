package org.hornbeamward.route.claim;

import org.hornbeamward.lib.InstanceId;

/**
 * The instance that claimed a key first, with its claim.
 *
 * @param instance the claiming instance
 * @param incarnation incarnation that made the claim
 * @param sequence sequence number of the claim within that incarnation
 * @param digest digest of the claimed request
 */
public record ClaimHolder(InstanceId instance, long incarnation, long sequence, long digest) {}
