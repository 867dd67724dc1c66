package org.hornbeamward.storage.log;

import io.vavr.control.Either;
import org.hornbeamward.errors.RingFull;

/** Takes the events of a follower, for example the {@code offer} method of a ring. */
@FunctionalInterface
public interface FollowSink {
    /**
     * Takes one event without blocking.
     *
     * @param event the event
     * @return nothing, or an error if there is no room; the same event is then offered again
     */
    Either<RingFull, Void> offer(FollowEvent event);
}
