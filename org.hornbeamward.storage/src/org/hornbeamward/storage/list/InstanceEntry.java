package org.hornbeamward.storage.list;

import org.hornbeamward.lib.FailureDomainId;

/**
 * One entry of the platform's instance list.
 *
 * @param id instance id, unique in the list
 * @param kind what the instance runs
 * @param address host and port
 * @param failureDomain failure domain of the instance
 * @param state whether the instance may be used or is leaving
 */
public record InstanceEntry(
        String id,
        InstanceKind kind,
        String address,
        FailureDomainId failureDomain,
        InstanceState state) {}
