package org.hornbeamward.dispatch.account;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which jobs lie within the share of their account. Load pattern: one account sends many
 * times its usual while the workers are full. The share is a number of jobs a second; an account
 * may send the jobs of two seconds at once, since calls do not arrive evenly. Jobs beyond the share
 * do not use it up, so an account that goes on sending too much still has as many jobs within it.
 */
public final class ShareMeter {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Jobs of so many seconds may arrive at once. */
    private static final double BURST_SECONDS = 2.0;

    /** An account of any share may send so many jobs at once. */
    private static final double MIN_BURST_COUNT = 2.0;

    /**
     * For each account, the time of day at which the next job would be due if its jobs arrived
     * evenly, in Unix milliseconds.
     */
    private final Map<String, Double> mNextDueWallMillis = new HashMap<>();

    /**
     * Counts a job.
     *
     * @param account account of the job
     * @param atWallMillis time of day at which it arrived, in Unix milliseconds
     * @return whether it lies within the account's share
     */
    public boolean arrived(ClientAccount account, long atWallMillis) {
        if (waitMillis(account, atWallMillis) > 0) {
            return false;
        }
        if (account.jobsPerSecond() > 0) {
            double dueWallMillis = nextDueWallMillis(account, atWallMillis);
            mNextDueWallMillis.put(account.name(), dueWallMillis + intervalMillis(account));
        }
        return true;
    }

    /**
     * Returns when a further job lies within the share of its account.
     *
     * @param account account of the job
     * @param nowWallMillis time of day in Unix milliseconds
     * @return milliseconds from now; 0 if it does now
     */
    public long waitMillis(ClientAccount account, long nowWallMillis) {
        if (account.jobsPerSecond() <= 0) {
            return 0;
        }
        double intervalMillis = intervalMillis(account);
        double burstCount = Math.max(MIN_BURST_COUNT, BURST_SECONDS * account.jobsPerSecond());
        double aheadMillis = nextDueWallMillis(account, nowWallMillis) - nowWallMillis;
        return Math.max(0, (long) Math.ceil(aheadMillis - (burstCount - 1) * intervalMillis));
    }

    private double nextDueWallMillis(ClientAccount account, long nowWallMillis) {
        return Math.max(nowWallMillis, mNextDueWallMillis.getOrDefault(account.name(), 0.0));
    }

    private static double intervalMillis(ClientAccount account) {
        return MILLIS_PER_SECOND / account.jobsPerSecond();
    }
}
