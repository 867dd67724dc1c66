package org.hornbeamward.kernel;

import io.vavr.control.Either;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.hornbeamward.errors.RingFull;
import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;

/**
 * A bounded queue with any number of producer threads and one duty as the consumer. Offering never
 * blocks; it fails if the ring is full.
 *
 * @param <T> type of the elements
 */
public final class Ring<T> {
    private final String mName;
    private final MpscArrayQueue<T> mQueue;
    private volatile @Nullable Thread mConsumer;

    /**
     * Creates an empty ring.
     *
     * @param name shown in errors and metrics
     * @param capacityCount maximum number of elements, rounded up to a power of two
     */
    public Ring(String name, int capacityCount) {
        mName = name;
        mQueue = new MpscArrayQueue<>(capacityCount);
    }

    /**
     * Adds an element and wakes the consumer.
     *
     * @param element the element
     * @return nothing, or an error if the ring is full
     */
    public Either<RingFull, Void> offer(T element) {
        if (!mQueue.offer(element)) {
            return Either.left(new RingFull(mName, mQueue.capacity()));
        }
        Thread consumer = mConsumer;
        if (consumer != null) {
            LockSupport.unpark(consumer);
        }
        return Either.right(null);
    }

    /**
     * Handles the queued elements without waiting. Called by the consumer thread only.
     *
     * @param handler called with each element in order
     * @return number of elements handled
     */
    public int drain(Consumer<? super T> handler) {
        return mQueue.drain(handler::accept);
    }

    /**
     * Waits until an element is queued or the timeout expires; may return early. Called by the
     * consumer thread only.
     *
     * @param waitNanos maximum time to wait
     */
    public void await(long waitNanos) {
        mConsumer = Thread.currentThread();
        if (mQueue.isEmpty()) {
            LockSupport.parkNanos(this, waitNanos);
        }
    }

    /**
     * Returns the number of queued elements.
     *
     * @return the number, an estimate while other threads offer
     */
    public int size() {
        return mQueue.size();
    }
}
