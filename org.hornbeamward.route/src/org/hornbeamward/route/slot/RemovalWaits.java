package org.hornbeamward.route.slot;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Which removals of members this process has waited for: slots of a removed member are usable only
 * after its promises have lapsed and its last requests have ended. Confined to one thread.
 */
public final class RemovalWaits {
    /** Time after which a removed member sends nothing more: S of the membership rules. */
    public static final long PROMISE_MILLIS = 4_000;

    /** Lengthening for clocks that differ in rate, in percent. */
    public static final long CLOCK_RATE_PERCENT = 2;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Deque<Seen> mSeen = new ArrayDeque<>();
    private long mWaitedToken;
    private long mNewestToken;

    /** Creates waits of a process that has read nothing. */
    public RemovalWaits() {}

    /**
     * Notes the newest removal in the state and returns what has been waited for.
     *
     * @param newestRemovalToken token of the newest removal whose slots still wait, 0 if none
     * @param longestRequestMillis longest time that a request may take
     * @param nowNanos monotonic time
     * @return newest removal whose requests have ended, 0 if none
     */
    public long observe(long newestRemovalToken, long longestRequestMillis, long nowNanos) {
        if (newestRemovalToken > mNewestToken) {
            mNewestToken = newestRemovalToken;
            mSeen.addLast(new Seen(newestRemovalToken, nowNanos));
        }
        long waitNanos = waitNanos(longestRequestMillis);
        while (!mSeen.isEmpty() && nowNanos - mSeen.getFirst().atNanos() >= waitNanos) {
            mWaitedToken = mSeen.removeFirst().token();
        }
        return mWaitedToken;
    }

    /**
     * Returns how long slots of a removed member stay unusable.
     *
     * @param longestRequestMillis longest time that a request may take
     * @return nanoseconds from reading the removal
     */
    public static long waitNanos(long longestRequestMillis) {
        long millis = PROMISE_MILLIS + longestRequestMillis;
        return millis * NANOS_PER_MILLI * (100 + CLOCK_RATE_PERCENT) / 100;
    }

    private record Seen(long token, long atNanos) {}
}
