package org.hornbeamward.storage.log;

import io.vavr.control.Either;
import org.hornbeamward.errors.RingFull;

/** Receives the events of a follower, for example the {@code offer} method of a ring. */
@FunctionalInterface
public interface FollowSink {
    /**
     * Accepts one event without blocking.
     *
     * @param event the event
     * @return nothing, or an error if the sink is full; the follower then offers the same event
     *     again
     */
    Either<RingFull, Void> offer(FollowEvent event);
}
