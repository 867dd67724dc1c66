package org.hornbeamward.command;

import org.hornbeamward.lib.InstanceId;

/**
 * Withdraws the author's suspicion of a member.
 *
 * @param target the member
 * @param targetIncarnation its incarnation
 */
public record TrustMember(InstanceId target, long targetIncarnation) implements Command {}
