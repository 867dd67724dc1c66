package org.hornbeamward.command;

import org.hornbeamward.lib.FailureDomainId;

/**
 * Takes a failure domain out of service.
 *
 * @param commandId unique id of the operator's command
 * @param failureDomain the domain
 * @param baseVersion version of the domain that the change is based on, 0 if never changed
 * @param noticeMillis time that batch tasks have to write a checkpoint
 * @param lost true if the domain's machines are known to be off
 */
public record TakeOutDomain(
        String commandId,
        FailureDomainId failureDomain,
        long baseVersion,
        long noticeMillis,
        boolean lost)
        implements IdentifiedCommand {}
