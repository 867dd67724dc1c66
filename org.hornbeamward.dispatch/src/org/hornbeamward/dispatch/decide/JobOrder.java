package org.hornbeamward.dispatch.decide;

import java.util.Comparator;

/**
 * The order in which the tasks of jobs are placed. Load pattern: a burst of large jobs beside a
 * steady stream of short ones, or workers that are lost meanwhile. Long-running tasks that have
 * been running go first: they are few, they had their capacity before, and callers count them as
 * lost when they stay away. Jobs that can still meet their objective follow, by priority and then
 * by latest start time. Next come new long-running jobs, which lose only the time that they wait,
 * and then jobs that are already late. Jobs beyond the share of their client account follow, so
 * that an account that sends many times its usual costs the others nothing. Jobs whose result is
 * worth nothing any more come last, so that they do not make others late. Long-running jobs that
 * are submitted together, such as after a start of the whole system, are placed image by image, so
 * that images are not mixed on all workers.
 */
public final class JobOrder {
    /** Multiple of a job's objective after which its result is worth nothing. */
    public static final double WORTHLESS_FACTOR = 3.0;

    /**
     * Long-running jobs whose latest start times fall into the same window are ordered by image.
     */
    private static final long START_WINDOW_MILLIS = 2_000;

    private JobOrder() {}

    /**
     * What a long-running job has in common with other waiting jobs of its image.
     *
     * @param image image of its tasks
     * @param imageMillicores millicores that all waiting jobs of the image reserve
     * @param spread whether its tasks must be spread over several workers
     */
    public record ImageGroup(String image, long imageMillicores, boolean spread) {
        /** For jobs that are not ordered by image. */
        public static final ImageGroup NONE = new ImageGroup("", 0, false);
    }

    /**
     * The properties of a job that determine its place in the order.
     *
     * @param priority priority of the queue; 0 comes first
     * @param releaseWallMillis release time: time of day at which the job was submitted or became
     *     due
     * @param objectiveMillis time after the release at which its objective ends
     * @param remainingMillis estimated duration of the remaining steps, at most the critical path
     * @param longRunning whether it runs until it is cancelled
     * @param interrupted whether only tasks are placed that have been running before
     * @param beyondShare whether the job lies beyond the share of its client account
     * @param sequence order of arrival
     * @param imageGroup other jobs of its image, for a long-running job
     */
    public record SortKey(
            int priority,
            long releaseWallMillis,
            long objectiveMillis,
            long remainingMillis,
            boolean longRunning,
            boolean interrupted,
            boolean beyondShare,
            long sequence,
            ImageGroup imageGroup) {

        private long latestStartWallMillis() {
            return releaseWallMillis + objectiveMillis - remainingMillis;
        }
    }

    /** What decides first on a job's place in the order. */
    public enum Tier {
        /** Long-running tasks that have been running before. */
        INTERRUPTED,
        /** Jobs that can still meet their objective. */
        IN_TIME,
        /** New long-running jobs. */
        LONG_RUNNING,
        /** Jobs that can no longer meet their objective. */
        LATE,
        /** Jobs beyond the share of their client account, in time or not. */
        BEYOND_SHARE,
        /** Jobs whose result is worth nothing any more. */
        WORTHLESS
    }

    /**
     * Returns the tier of a job.
     *
     * @param key properties of the job
     * @param nowWallMillis time of day in Unix milliseconds
     * @return its tier at that time
     */
    public static Tier tier(SortKey key, long nowWallMillis) {
        if (key.interrupted()) {
            return Tier.INTERRUPTED;
        }
        if (key.longRunning()) {
            return key.beyondShare() ? Tier.BEYOND_SHARE : Tier.LONG_RUNNING;
        }
        if (key.latestStartWallMillis() >= nowWallMillis) {
            return key.beyondShare() ? Tier.BEYOND_SHARE : Tier.IN_TIME;
        }
        double worthlessMillis = WORTHLESS_FACTOR * key.objectiveMillis();
        double endMillis = nowWallMillis + key.remainingMillis() - key.releaseWallMillis();
        if (endMillis > worthlessMillis) {
            return Tier.WORTHLESS;
        }
        return key.beyondShare() ? Tier.BEYOND_SHARE : Tier.LATE;
    }

    /**
     * Returns the order at a given time.
     *
     * @param nowWallMillis time of day in Unix milliseconds
     * @return a comparator that puts the job to place first at the front
     */
    public static Comparator<SortKey> at(long nowWallMillis) {
        return Comparator.<SortKey, Tier>comparing(key -> tier(key, nowWallMillis))
                .thenComparingInt(SortKey::priority)
                .thenComparingLong(JobOrder::startWindow)
                .thenComparingLong(key -> -key.imageGroup().imageMillicores())
                .thenComparing(key -> key.imageGroup().image())
                .thenComparing(key -> !key.imageGroup().spread())
                .thenComparingLong(SortKey::latestStartWallMillis)
                .thenComparingLong(SortKey::sequence);
    }

    private static long startWindow(SortKey key) {
        return key.longRunning() ? key.latestStartWallMillis() / START_WINDOW_MILLIS : 0;
    }
}
