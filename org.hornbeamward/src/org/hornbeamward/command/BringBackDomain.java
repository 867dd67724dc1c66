package org.hornbeamward.command;

import org.hornbeamward.lib.FailureDomainId;

/**
 * Brings a failure domain back into service.
 *
 * @param commandId unique id of the operator's command
 * @param failureDomain the domain
 * @param baseVersion version of the domain that the change is based on
 */
public record BringBackDomain(String commandId, FailureDomainId failureDomain, long baseVersion)
        implements IdentifiedCommand {}
