package org.hornbeamward.command;

import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;

/**
 * Makes an incarnation of an entry instance a member, replacing any previous incarnation.
 *
 * @param instance the instance
 * @param incarnation random number drawn at process start
 * @param failureDomain its failure domain
 * @param region its region
 * @param peerAddress host:port at which other members connect
 * @param adminAddress host:port of the admin API
 */
public record JoinMember(
        InstanceId instance,
        long incarnation,
        FailureDomainId failureDomain,
        RegionId region,
        String peerAddress,
        String adminAddress)
        implements Command {}
