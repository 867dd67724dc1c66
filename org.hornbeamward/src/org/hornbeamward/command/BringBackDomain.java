package org.hornbeamward.command;

import org.hornbeamward.lib.FailureDomainId;

/**
 * Brings a failure domain back into service.
 *
 * @param commandId unique id of the operator's command
 * @param failureDomain the domain
 * @param baseVersion the domain's version that the operator saw
 */
public record BringBackDomain(String commandId, FailureDomainId failureDomain, long baseVersion)
        implements IdentifiedCommand {}
