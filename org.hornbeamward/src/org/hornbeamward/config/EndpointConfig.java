package org.hornbeamward.config;

import org.hornbeamward.lib.FailureDomainId;

/**
 * An endpoint: entry {@code endpoint/<name>}.
 *
 * @param service name of the service whose requests it answers
 * @param failureDomain its failure domain
 * @param address host:port
 * @param slotCount maximum number of concurrent requests from all members together
 * @param connectionCount maximum number of connections from all members together
 */
public record EndpointConfig(
        String service,
        FailureDomainId failureDomain,
        String address,
        int slotCount,
        int connectionCount) {}
