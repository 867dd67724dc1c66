package org.hornbeamward.transport.message;

import java.util.List;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/**
 * The complete status of a worker, sent in answer to {@link Hello}.
 *
 * @param worker the worker
 * @param incarnation incarnation of the worker, drawn when it starts
 * @param failureDomain failure domain of the worker
 * @param region region of the worker
 * @param rack rack of the worker
 * @param capacity total resources of the worker
 * @param ticketMillis a ticket, which is a reading of the worker's monotonic clock
 * @param runningTasks placements that have not ended
 * @param endedTasks ended placements whose end is not yet acknowledged
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
