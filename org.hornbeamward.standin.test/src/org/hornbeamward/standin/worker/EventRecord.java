package org.hornbeamward.standin.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Keeps the newest events of one or more stand-in workers. Safe for use by any thread. */
public final class EventRecord {
    private static final int MAX_EVENTS = 500_000;

    private final Deque<WorkerEvent> mEvents = new ArrayDeque<>();
    private long mAddedCount;

    /** Creates an empty record. */
    public EventRecord() {}

    /**
     * Adds an event; the oldest is dropped beyond 500,000.
     *
     * @param event the event
     */
    public synchronized void add(WorkerEvent event) {
        mEvents.addLast(event);
        mAddedCount++;
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.removeFirst();
        }
    }

    /**
     * Returns how many events were added.
     *
     * @return their number, including those dropped
     */
    public synchronized long addedCount() {
        return mAddedCount;
    }

    /**
     * Returns the events in order.
     *
     * @return a copy
     */
    public synchronized List<WorkerEvent> all() {
        return List.copyOf(mEvents);
    }
}
