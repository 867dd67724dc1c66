package org.hornbeamward.standin.worker;

import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/**
 * What a worker declares.
 *
 * @param worker its id
 * @param failureDomain its failure domain
 * @param region its region
 * @param rack its rack
 * @param capacity all it has
 */
public record WorkerIdentity(
        WorkerId worker,
        FailureDomainId failureDomain,
        RegionId region,
        String rack,
        Resources capacity) {}
