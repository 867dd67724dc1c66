package org.hornbeamward.standin.worker;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Bounded buffer of the newest events of one or more stand-in workers. Thread-safe. */
public final class EventRecord {
    private static final int MAX_EVENTS = 500_000;

    private final Deque<WorkerEvent> mEvents = new ArrayDeque<>();
    private long mAddedCount;

    /** Creates an empty buffer. */
    public EventRecord() {}

    /**
     * Adds an event. Drops the oldest one if the buffer holds more than 500,000.
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
     * Returns the number of events added so far.
     *
     * @return the number, including dropped events
     */
    public synchronized long addedCount() {
        return mAddedCount;
    }

    /**
     * Returns the buffered events, oldest first.
     *
     * @return a copy
     */
    public synchronized List<WorkerEvent> all() {
        return List.copyOf(mEvents);
    }
}
