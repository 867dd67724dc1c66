package org.hornbeamward.bench.recovery;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Discrete-event clock that advances to the time of the next event. Events that are due at the same
 * time run in the order in which they were scheduled.
 */
final class EventQueue {
    private record Event(long atNanos, long order, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private long mNowNanos;
    private long mLastOrder;

    long nowNanos() {
        return mNowNanos;
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mNowNanos);
    }

    void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + nanos, ++mLastOrder, action));
    }

    void every(long nanos, Runnable action) {
        after(
                nanos,
                () -> {
                    action.run();
                    every(nanos, action);
                });
    }

    void runFor(long nanos) {
        long endNanos = mNowNanos + nanos;
        while (!mEvents.isEmpty() && mEvents.element().atNanos() <= endNanos) {
            Event event = mEvents.remove();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }
}
