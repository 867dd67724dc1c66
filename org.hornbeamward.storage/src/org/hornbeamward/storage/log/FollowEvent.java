package org.hornbeamward.storage.log;

import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogRetentionPassed;

/** What a {@link StreamFollower} found. Immutable. */
public sealed interface FollowEvent {

    /**
     * The next record of the stream.
     *
     * @param offset its offset
     * @param bytes its content, not to be changed
     */
    record RecordRead(long offset, byte[] bytes) implements FollowEvent {}

    /**
     * All records up to the end of the stream have been handed over before this event.
     *
     * @param readStartedNanos the monotonic time at which the read that reached the end was sent;
     *     every record appended before that time has been handed over
     * @param endOffset offset of the next record to be appended
     */
    record ReachedEnd(long readStartedNanos, long endOffset) implements FollowEvent {}

    /**
     * The next record is before retention. The follower stands still until {@link
     * StreamFollower#resumeFrom}.
     *
     * @param error the offsets
     */
    record RetentionPassed(LogRetentionPassed error) implements FollowEvent {}

    /**
     * A read failed and is repeated after a backoff.
     *
     * @param error the failure
     */
    record ReadFailed(HornbeamwardError error) implements FollowEvent {}
}
