package org.hornbeamward.transport.message;

import java.util.List;

/**
 * Answers a {@link Heartbeat}.
 *
 * @param incarnation incarnation of the worker
 * @param ticketMillis new ticket: monotonic clock of the worker
 * @param measuredMillis worker's clock at the measurement of the usage, 0 before the first
 * @param changedUsage samples of tasks whose usage has changed
 * @param endedTasks ended placements that are not acknowledged
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
