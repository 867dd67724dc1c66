package org.hornbeamward.route.slot;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks for which member removals this process has waited long enough. Slots of a removed member
 * are usable only after the promises that it holds have lapsed and its last requests have ended.
 * Not thread-safe; confined to one thread.
 */
public final class RemovalWaitTracker {
    /**
     * Time after which a removed member sends no more requests, because its last promise has
     * lapsed. Equals {@code MembershipMonitor.PROMISE_NANOS}.
     */
    public static final long PROMISE_MILLIS = 4_000;

    /** Percentage by which waits are extended, since clocks of two instances differ in rate. */
    public static final long CLOCK_DRIFT_PERCENT = 2;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Deque<PendingRemoval> mPendingRemovals = new ArrayDeque<>();
    private long mWaitedToken;
    private long mNewestToken;

    /** Creates a tracker for a process that has read no removal. */
    public RemovalWaitTracker() {}

    /**
     * Records the newest removal in the state and returns the newest one whose wait is over.
     *
     * @param newestRemovalToken token of the newest removal whose slots are not usable yet, 0 if
     *     none
     * @param longestRequestMillis longest time that a request may take
     * @param nowNanos monotonic time
     * @return token of the newest removal after which the removed member's requests have ended, 0
     *     if none
     */
    public long observe(long newestRemovalToken, long longestRequestMillis, long nowNanos) {
        if (newestRemovalToken > mNewestToken) {
            mNewestToken = newestRemovalToken;
            mPendingRemovals.addLast(new PendingRemoval(newestRemovalToken, nowNanos));
        }
        long waitNanos = waitNanos(longestRequestMillis);
        while (!mPendingRemovals.isEmpty()
                && nowNanos - mPendingRemovals.getFirst().observedNanos() >= waitNanos) {
            mWaitedToken = mPendingRemovals.removeFirst().token();
        }
        return mWaitedToken;
    }

    /**
     * Returns how long slots of a removed member stay unusable.
     *
     * @param longestRequestMillis longest time that a request may take
     * @return nanoseconds, counted from the time at which this process reads the removal
     */
    public static long waitNanos(long longestRequestMillis) {
        long millis = PROMISE_MILLIS + longestRequestMillis;
        return millis * NANOS_PER_MILLI * (100 + CLOCK_DRIFT_PERCENT) / 100;
    }

    private record PendingRemoval(long token, long observedNanos) {}
}
