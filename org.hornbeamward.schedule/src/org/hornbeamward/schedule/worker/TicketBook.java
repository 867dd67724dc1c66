package org.hornbeamward.schedule.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;

/** The newest tickets of one incarnation of a worker. */
final class TicketBook {
    private static final int MAX_TICKETS = 16;

    private final Deque<Ticket> mTickets = new ArrayDeque<>();

    private record Ticket(long ticketMillis, long receivedNanos) {}

    void add(long ticketMillis, long receivedNanos) {
        mTickets.addLast(new Ticket(ticketMillis, receivedNanos));
        if (mTickets.size() > MAX_TICKETS) {
            mTickets.removeFirst();
        }
    }

    void clear() {
        mTickets.clear();
    }

    /** Returns the ticket to renew the lease with. */
    OptionalLong newest() {
        return mTickets.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mTickets.getLast().ticketMillis);
    }

    /**
     * Returns a ticket for a start: received before the log read began, so that the read shows
     * every change which the log held when the ticket was issued, and young enough.
     */
    OptionalLong forStart(long logReadStartedNanos, long nowNanos) {
        Iterator<Ticket> newestFirst = mTickets.descendingIterator();
        while (newestFirst.hasNext()) {
            Ticket ticket = newestFirst.next();
            boolean young = nowNanos - ticket.receivedNanos < SupervisorPeriods.USABLE_TICKET_NANOS;
            if (young && ticket.receivedNanos - logReadStartedNanos < 0) {
                return OptionalLong.of(ticket.ticketMillis);
            }
        }
        return OptionalLong.empty();
    }
}
