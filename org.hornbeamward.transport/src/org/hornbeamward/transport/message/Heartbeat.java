package org.hornbeamward.transport.message;

import java.util.List;

/**
 * Extends the lease of a worker to {@code ticketMillis} plus the lease duration and asks for a new
 * ticket.
 *
 * @param epoch membership epoch of the sender
 * @param incarnation incarnation of the worker that issued the ticket
 * @param ticketMillis last ticket received from the worker
 * @param acknowledgedTokens fencing tokens of the placements whose end is in the log
 */
public record Heartbeat(
        long epoch, long incarnation, long ticketMillis, List<Long> acknowledgedTokens)
        implements WorkerMessage {
    /** Copies the list. */
    public Heartbeat {
        acknowledgedTokens = List.copyOf(acknowledgedTokens);
    }
}
