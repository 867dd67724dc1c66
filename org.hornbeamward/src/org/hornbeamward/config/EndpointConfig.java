package org.hornbeamward.config;

import org.hornbeamward.lib.FailureDomainId;

/**
 * An endpoint: entry {@code endpoint/<name>}.
 *
 * @param service name of the service that it answers for
 * @param failureDomain its failure domain
 * @param address host:port
 * @param slotCount requests that it takes at once from all members together
 * @param connectionCount connections that it takes from all members together
 */
public record EndpointConfig(
        String service,
        FailureDomainId failureDomain,
        String address,
        int slotCount,
        int connectionCount) {}
