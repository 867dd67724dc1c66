package org.hornbeamward.dispatch.lead;

/**
 * The time for which a long-running task that has been running before is not known to be at work,
 * and how it was spent. It begins when the task was last seen at work and ends when a worker
 * confirms a run again.
 */
final class TimeAway {
    /** Monotonic time at which a worker last showed the task at work, or this leader took over. */
    public final long sinceMillis;

    /** Whether this leader has seen the task at work, so that the beginning is known. */
    public final boolean sinceKnown;

    /** Time from the beginning until the run was given up, such as the wait for leases. */
    public final long givenUpAfterMillis;

    /** Time without a run, not counting the present stage. */
    public long waitedMillis;

    /** Time in starts that did not succeed. */
    public long failedStartMillis;

    /** Number of starts that did not succeed. */
    public int failedStartCount;

    /** Why the last start did not succeed. */
    public String lastFailure = "none";

    private boolean mStarting;
    private long mStageSinceMillis;

    /**
     * Begins the time of a task whose run is given up now.
     *
     * @param sinceMillis monotonic time at which the task was last seen at work, or of the takeover
     * @param sinceKnown whether this leader has seen the task at work
     * @param nowMillis monotonic time
     */
    TimeAway(long sinceMillis, boolean sinceKnown, long nowMillis) {
        this.sinceMillis = sinceMillis;
        this.sinceKnown = sinceKnown;
        givenUpAfterMillis = nowMillis - sinceMillis;
        mStageSinceMillis = nowMillis;
    }

    /** Notes that a worker is chosen; a start that moves to a later incarnation goes on. */
    void placed(long nowMillis) {
        if (!mStarting) {
            waitedMillis += nowMillis - mStageSinceMillis;
            mStarting = true;
            mStageSinceMillis = nowMillis;
        }
    }

    /** Notes that a start did not succeed and that the task waits again. */
    void startFailed(String reason, long nowMillis) {
        failedStartMillis += nowMillis - mStageSinceMillis;
        failedStartCount++;
        lastFailure = reason;
        mStarting = false;
        mStageSinceMillis = nowMillis;
    }

    /** Returns how long the present stage has lasted: the wait for a worker, or the start. */
    long stageMillis(long nowMillis) {
        return nowMillis - mStageSinceMillis;
    }

    /** Returns a time away as text that says whether its beginning is known. */
    static String describe(boolean sinceKnown, long millis) {
        return sinceKnown ? millis + " ms" : "unknown, at least " + millis + " ms";
    }
}
