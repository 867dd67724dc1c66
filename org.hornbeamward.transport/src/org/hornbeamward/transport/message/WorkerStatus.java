package org.hornbeamward.transport.message;

import java.util.List;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/**
 * Tells everything about a worker; answers {@link Hello}.
 *
 * @param worker the worker
 * @param incarnation drawn at its start
 * @param failureDomain its failure domain
 * @param region its region
 * @param rack its rack
 * @param capacity all it has
 * @param ticketMillis a ticket: monotonic clock of the worker
 * @param runningTasks placements that have not ended
 * @param endedTasks ended placements that are not acknowledged
 */
public record WorkerStatus(
        WorkerId worker,
        long incarnation,
        FailureDomainId failureDomain,
        RegionId region,
        String rack,
        Resources capacity,
        long ticketMillis,
        List<RunningTask> runningTasks,
        List<EndedTask> endedTasks)
        implements WorkerMessage {
    /** Copies the lists. */
    public WorkerStatus {
        runningTasks = List.copyOf(runningTasks);
        endedTasks = List.copyOf(endedTasks);
    }
}
