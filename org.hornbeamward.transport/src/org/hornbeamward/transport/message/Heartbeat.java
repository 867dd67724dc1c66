package org.hornbeamward.transport.message;

import java.util.List;

/**
 * Renews the lease of a worker until {@code ticketMillis} plus the lease and asks for a new ticket.
 *
 * @param epoch membership epoch of the sender
 * @param incarnation incarnation of the worker that issued the ticket
 * @param ticketMillis last ticket received
 * @param acknowledgedTokens ended placements whose end is in the log
 */
public record Heartbeat(
        long epoch, long incarnation, long ticketMillis, List<Long> acknowledgedTokens)
        implements WorkerMessage {
    /** Copies the lists. */
    public Heartbeat {
        acknowledgedTokens = List.copyOf(acknowledgedTokens);
    }
}
