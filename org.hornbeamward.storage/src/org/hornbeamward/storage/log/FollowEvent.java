package org.hornbeamward.storage.log;

import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogRetentionPassed;

/** Event of a {@link StreamFollower}. Immutable. */
public sealed interface FollowEvent {

    /**
     * The next record of the stream.
     *
     * @param offset its offset
     * @param bytes its content; must not be modified
     */
    record RecordRead(long offset, byte[] bytes) implements FollowEvent {}

    /**
     * All records up to the end of the stream were delivered before this event.
     *
     * @param readStartedNanos the monotonic time at which the read that reached the end was sent;
     *     every record appended before that time was delivered
     * @param endOffset offset of the next record to be appended
     */
    record ReachedEnd(long readStartedNanos, long endOffset) implements FollowEvent {}

    /**
     * The next record was removed by log retention. The follower reads nothing until {@link
     * StreamFollower#resumeFrom} is called.
     *
     * @param error the error with the requested and the earliest offset
     */
    record RetentionPassed(LogRetentionPassed error) implements FollowEvent {}

    /**
     * A read failed and is retried after a backoff.
     *
     * @param error the failure
     */
    record ReadFailed(HornbeamwardError error) implements FollowEvent {}
}
