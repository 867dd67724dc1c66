package org.hornbeamward.schedule.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.OptionalLong;

/** The most recent tickets of one incarnation of a worker. */
final class RecentTickets {
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

    /** Returns the ticket that renews the lease. */
    OptionalLong newest() {
        return mTickets.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(mTickets.getLast().ticketMillis);
    }

    /**
     * Returns a ticket for a start that is recent enough and was received before the log read
     * began. The read therefore covers every change that was in the log when the ticket was issued.
     */
    OptionalLong forStart(long logReadStartedNanos, long nowNanos) {
        Iterator<Ticket> newestFirst = mTickets.descendingIterator();
        while (newestFirst.hasNext()) {
            Ticket ticket = newestFirst.next();
            boolean young =
                    nowNanos - ticket.receivedNanos < SupervisorPeriods.MAX_USABLE_TICKET_AGE_NANOS;
            if (young && ticket.receivedNanos - logReadStartedNanos < 0) {
                return OptionalLong.of(ticket.ticketMillis);
            }
        }
        return OptionalLong.empty();
    }
}
