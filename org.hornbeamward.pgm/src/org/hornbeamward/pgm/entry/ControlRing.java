package org.hornbeamward.pgm.entry;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.hornbeamward.errors.RingFull;
import org.hornbeamward.kernel.Ring;

/** The bounded ring buffer of events for the control duty. */
final class ControlRing {
    private static final int CAPACITY_COUNT = 64 * 1024;
    private static final long FULL_PARK_NANOS = 1_000_000L;

    private final Ring<ControlEvent> mRing = new Ring<>("control", CAPACITY_COUNT);
    private final AtomicLong mDropped = new AtomicLong();

    Either<RingFull, Void> offer(ControlEvent event) {
        return mRing.offer(event);
    }

    /** Queues an event, or drops it if the ring is full. For messages that the sender repeats. */
    void offerOrDrop(ControlEvent event) {
        if (mRing.offer(event).isLeft()) {
            mDropped.incrementAndGet();
        }
    }

    /** Queues an event, blocking while the ring is full. For events that are not repeated. */
    void offerBlocking(ControlEvent event) {
        while (mRing.offer(event).isLeft()) {
            LockSupport.parkNanos(FULL_PARK_NANOS);
        }
    }

    void drain(Consumer<ControlEvent> handler) {
        mRing.drain(handler);
    }

    void await(long waitNanos) {
        mRing.await(waitNanos);
    }

    int size() {
        return mRing.size();
    }

    long droppedCount() {
        return mDropped.get();
    }
}
