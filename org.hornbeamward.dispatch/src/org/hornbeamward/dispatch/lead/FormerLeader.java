package org.hornbeamward.dispatch.lead;

/**
 * What an elected entry knows about how long the former leader may have renewed leases. The entry
 * must have seen a progress record of the former leader, so that the leaders before it were fenced
 * by then.
 */
public sealed interface FormerLeader {
    /** It may renew leases until some time after it is fenced. */
    record Unknown() implements FormerLeader {}

    /**
     * It has stopped.
     *
     * @param firstSeenMillis monotonic time at which a progress record of it was first known
     */
    record Resigned(long firstSeenMillis) implements FormerLeader {}

    /**
     * The store has not confirmed it since a given time, unless it appended a record meanwhile.
     *
     * @param progressOffset offset after the last progress record known at that time
     * @param sinceMillis the time, on the monotonic clock
     */
    record Silent(long progressOffset, long sinceMillis) implements FormerLeader {}
}
