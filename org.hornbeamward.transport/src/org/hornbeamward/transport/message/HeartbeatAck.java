package org.hornbeamward.transport.message;

import java.util.List;

/**
 * Answers a {@link Heartbeat}.
 *
 * @param incarnation incarnation of the worker
 * @param ticketMillis new ticket, which is a reading of the worker's monotonic clock
 * @param measuredMillis reading of the worker's monotonic clock when the usage was measured, 0
 *     before the first measurement
 * @param changedUsage usage samples of the tasks whose usage has changed
 * @param endedTasks ended placements whose end is not yet acknowledged
 */
public record HeartbeatAck(
        long incarnation,
        long ticketMillis,
        long measuredMillis,
        List<UsageSample> changedUsage,
        List<EndedTask> endedTasks)
        implements WorkerMessage {
    /** Copies the lists. */
    public HeartbeatAck {
        changedUsage = List.copyOf(changedUsage);
        endedTasks = List.copyOf(endedTasks);
    }
}
