package org.hornbeamward.route.claim;

import org.hornbeamward.lib.InstanceId;

/**
 * The first claimant of a key.
 *
 * @param instance the instance
 * @param incarnation its incarnation
 * @param sequence number of the claim there
 * @param digest digest of the claimed request
 */
public record ClaimHolder(InstanceId instance, long incarnation, long sequence, long digest) {}
