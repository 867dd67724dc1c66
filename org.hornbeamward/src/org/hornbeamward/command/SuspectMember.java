package org.hornbeamward.command;

import org.hornbeamward.lib.InstanceId;

/**
 * States that the author has had no contact with a member and gives it no more promises.
 *
 * @param target the suspected member
 * @param targetIncarnation its incarnation
 */
public record SuspectMember(InstanceId target, long targetIncarnation) implements Command {}
