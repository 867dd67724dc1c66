package org.hornbeamward.dispatch.lead;

/**
 * What an elected entry knows about how long the former leader may have renewed leases. The entry
 * must have seen a progress record of a silent leader, so that the leaders before it were fenced by
 * then.
 */
public sealed interface FormerLeader {
    /** It may renew leases until some time after it is fenced. */
    record Unknown() implements FormerLeader {}

    /**
     * It renews no more leases: it has resigned, or its process has ended. Leaders before it may
     * still do so, if it was elected shortly before.
     *
     * @param epoch its epoch
     * @param stoppedMillis monotonic time at which it had certainly stopped; everything that it
     *     appended was decided before
     * @param firstSeenMillis monotonic time at which a progress record of it was first known;
     *     {@link #NEVER_SEEN} if none was
     */
    record Stopped(long epoch, long stoppedMillis, long firstSeenMillis) implements FormerLeader {
        /** Value of {@link #firstSeenMillis} for a leader of which no record was seen. */
        public static final long NEVER_SEEN = Long.MAX_VALUE;
    }

    /**
     * The store has not confirmed it since a given time, unless it appended a record meanwhile.
     *
     * @param progressOffset offset after the last progress record known at that time
     * @param sinceMillis the time, on the monotonic clock
     */
    record Silent(long progressOffset, long sinceMillis) implements FormerLeader {}
}
