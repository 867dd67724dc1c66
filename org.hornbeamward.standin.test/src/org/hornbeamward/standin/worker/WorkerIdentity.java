package org.hornbeamward.standin.worker;

import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/**
 * Location and capacity that a worker reports to its supervisor.
 *
 * @param worker id of the worker
 * @param failureDomain failure domain that the worker is in
 * @param region region of that failure domain
 * @param rack rack that the worker is mounted in
 * @param capacity total resources of the worker
 */
public record WorkerIdentity(
        WorkerId worker,
        FailureDomainId failureDomain,
        RegionId region,
        String rack,
        Resources capacity) {}
