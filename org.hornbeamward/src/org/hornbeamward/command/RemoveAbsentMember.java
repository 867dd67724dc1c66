package org.hornbeamward.command;

import org.hornbeamward.lib.InstanceId;

/**
 * Removes a member that the platform's list no longer names.
 *
 * @param target the member
 * @param targetIncarnation its incarnation
 * @param listVersion newest version of the list that lacks it
 */
public record RemoveAbsentMember(InstanceId target, long targetIncarnation, long listVersion)
        implements Command {}
