package org.hornbeamward.command;

import org.hornbeamward.lib.InstanceId;

/**
 * Removes a member that the platform's list no longer contains.
 *
 * @param target the member
 * @param targetIncarnation its incarnation
 * @param listVersion newest version of the list, which does not contain it
 */
public record RemoveAbsentMember(InstanceId target, long targetIncarnation, long listVersion)
        implements Command {}
