package org.hornbeamward.command;

import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/**
 * Registers a worker, or a new incarnation of it, for placements.
 *
 * @param worker the worker
 * @param incarnation number drawn by the worker at its start
 * @param failureDomain its failure domain
 * @param region its region
 * @param rack its rack
 * @param capacity its total resources
 * @param address host:port that supervisors connect to
 * @param membershipEpoch membership epoch in which the author supervised the worker; a new
 *     incarnation of a registered worker is rejected after any change of membership
 */
public record RegisterWorker(
        WorkerId worker,
        long incarnation,
        FailureDomainId failureDomain,
        RegionId region,
        String rack,
        Resources capacity,
        String address,
        long membershipEpoch)
        implements Command {}
