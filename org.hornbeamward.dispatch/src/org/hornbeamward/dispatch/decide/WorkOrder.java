package org.hornbeamward.dispatch.decide;

import java.util.Comparator;

/**
 * Which job's tasks are placed first. Load pattern: a burst of large jobs beside a steady stream of
 * short ones. Jobs that can still meet their objective go first, by priority and then by the moment
 * at which they must have started; lasting jobs follow, which lose only the time that they wait;
 * then jobs that are already late; jobs whose answer is worth nothing any more come last, so that
 * they do not make others late. Lasting jobs that come together, as after a start of the whole
 * system, are placed image by image, so that images do not mix on all workers.
 */
public final class WorkOrder {
    /** A job that takes longer than this many times its objective earns nothing. */
    public static final double WORTHLESS_FACTOR = 3.0;

    /** Lasting jobs that have to start within such a time of each other are ordered by image. */
    private static final long BATCH_MILLIS = 2_000;

    private WorkOrder() {}

    /**
     * What a lasting job has in common with others.
     *
     * @param image image of its tasks
     * @param imageMillicores what all waiting jobs of the image reserve
     * @param spread whether its tasks go to different workers
     */
    public record Companions(String image, long imageMillicores, boolean spread) {
        /** No others. */
        public static final Companions NONE = new Companions("", 0, false);
    }

    /**
     * What the order depends on.
     *
     * @param priority priority of the queue; 0 comes first
     * @param begunWallMillis time of day at which the job was submitted or became due
     * @param objectiveMillis time after that at which its objective ends
     * @param remainingMillis estimate of the chain of work that is left
     * @param lasting whether it runs until it is cancelled
     * @param sequence order of arrival
     * @param companions other jobs of its image, for a lasting job
     */
    public record Claim(
            int priority,
            long begunWallMillis,
            long objectiveMillis,
            long remainingMillis,
            boolean lasting,
            long sequence,
            Companions companions) {

        private long latestStartWallMillis() {
            return begunWallMillis + objectiveMillis - remainingMillis;
        }
    }

    private enum Tier {
        IN_TIME,
        LASTING,
        LATE,
        WORTHLESS
    }

    private static Tier tier(Claim claim, long nowWallMillis) {
        if (claim.lasting()) {
            return Tier.LASTING;
        }
        if (claim.latestStartWallMillis() >= nowWallMillis) {
            return Tier.IN_TIME;
        }
        double worthlessMillis = WORTHLESS_FACTOR * claim.objectiveMillis();
        double endMillis = nowWallMillis + claim.remainingMillis() - claim.begunWallMillis();
        return endMillis <= worthlessMillis ? Tier.LATE : Tier.WORTHLESS;
    }

    /**
     * Returns the order at a moment.
     *
     * @param nowWallMillis time of day in Unix milliseconds
     * @return the claim to serve first is the smallest
     */
    public static Comparator<Claim> at(long nowWallMillis) {
        return Comparator.<Claim, Tier>comparing(claim -> tier(claim, nowWallMillis))
                .thenComparingInt(Claim::priority)
                .thenComparingLong(WorkOrder::batch)
                .thenComparingLong(claim -> -claim.companions().imageMillicores())
                .thenComparing(claim -> claim.companions().image())
                .thenComparing(claim -> !claim.companions().spread())
                .thenComparingLong(Claim::latestStartWallMillis)
                .thenComparingLong(Claim::sequence);
    }

    private static long batch(Claim claim) {
        return claim.lasting() ? claim.latestStartWallMillis() / BATCH_MILLIS : 0;
    }
}
