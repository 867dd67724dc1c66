package org.hornbeamward.storage.list;

import org.hornbeamward.lib.FailureDomainId;

/**
 * One instance in the platform's list.
 *
 * @param id its name, unique in the list
 * @param kind what it runs
 * @param address host and port
 * @param failureDomain where it runs
 * @param state whether it is leaving
 */
public record InstanceEntry(
        String id,
        InstanceKind kind,
        String address,
        FailureDomainId failureDomain,
        InstanceState state) {}
