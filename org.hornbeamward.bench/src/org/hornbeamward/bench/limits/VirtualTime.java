package org.hornbeamward.bench.limits;

import io.netty.util.Timeout;
import io.netty.util.Timer;
import io.netty.util.TimerTask;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.lib.MonotonicClock;

/**
 * Discrete-event clock that advances to the time of the next event. Events that are due at the same
 * time run in the order in which they were scheduled.
 */
final class VirtualTime implements MonotonicClock, Timer {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong((Event event) -> event.mAtNanos)
                            .thenComparingLong(event -> event.mOrder));
    private long mNowNanos;
    private long mLastOrder;

    @Override
    public long nowNanos() {
        return mNowNanos;
    }

    void after(long nanos, Runnable action) {
        newTimeout(unused -> action.run(), nanos, TimeUnit.NANOSECONDS);
    }

    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().mAtNanos <= endNanos) {
            Event event = mEvents.remove();
            mNowNanos = event.mAtNanos;
            event.run();
        }
        mNowNanos = endNanos;
    }

    @Override
    public Timeout newTimeout(TimerTask task, long delay, TimeUnit unit) {
        Event event = new Event(task, mNowNanos + Math.max(0, unit.toNanos(delay)), ++mLastOrder);
        mEvents.add(event);
        return event;
    }

    @Override
    public Set<Timeout> stop() {
        mEvents.clear();
        return Set.of();
    }

    private final class Event implements Timeout {
        final TimerTask mTask;
        final long mAtNanos;
        final long mOrder;
        boolean mCancelled;
        boolean mExpired;

        Event(TimerTask task, long atNanos, long order) {
            mTask = task;
            mAtNanos = atNanos;
            mOrder = order;
        }

        void run() {
            if (mCancelled) {
                return;
            }
            mExpired = true;
            try {
                mTask.run(this);
            } catch (Exception e) {
                throw new IllegalStateException("an event failed", e);
            }
        }

        @Override
        public Timer timer() {
            return VirtualTime.this;
        }

        @Override
        public TimerTask task() {
            return mTask;
        }

        @Override
        public boolean isExpired() {
            return mExpired;
        }

        @Override
        public boolean isCancelled() {
            return mCancelled;
        }

        @Override
        public boolean cancel() {
            mCancelled = true;
            return !mExpired;
        }
    }
}
