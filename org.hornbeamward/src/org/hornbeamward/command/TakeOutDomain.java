package org.hornbeamward.command;

import org.hornbeamward.lib.FailureDomainId;

/**
 * Takes a failure domain out of service.
 *
 * @param commandId unique id of the operator's command
 * @param failureDomain the domain
 * @param baseVersion the domain's version that the operator saw, 0 if never changed
 * @param noticeMillis time that batch tasks have for a checkpoint
 * @param lost true if the domain's machines are known to be off
 */
public record TakeOutDomain(
        String commandId,
        FailureDomainId failureDomain,
        long baseVersion,
        long noticeMillis,
        boolean lost)
        implements IdentifiedCommand {}
