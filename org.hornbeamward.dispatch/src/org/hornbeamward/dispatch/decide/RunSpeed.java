package org.hornbeamward.dispatch.decide;

import java.util.Arrays;
import java.util.Collection;

/**
 * Recognizes workers on which runs advance much more slowly than elsewhere. Load pattern: some
 * workers turn several times slower for seconds, or the tasks on them stand still, while their
 * answers and health checks stay good. The tasks of one step take similar times on healthy workers,
 * apart from single long ones; the estimates of the jobs' authors are off by up to nine tenths, so
 * runs are compared only with other runs of their step.
 */
public final class RunSpeed {
    /** Number of other runs of a step that make a comparison meaningful. */
    public static final int MIN_PEER_COUNT = 3;

    /** Relative speed below which a run is evidence against its worker. */
    private static final double SLOW_SPEED = 0.4;

    /** Relative speed above which a run shows that its worker is healthy. */
    private static final double NORMAL_SPEED = 0.6;

    /** Number of slow runs that make a worker slow; a single one may have a long task. */
    private static final int MIN_SLOW_COUNT = 2;

    /** Relative speed below which a single run is enough evidence. */
    private static final double STANDING_SPEED = 0.12;

    /** Shortest work time for a comparison; shorter runs have a progress of a few percent only. */
    private static final long MIN_WORKED_MILLIS = 300;

    /** Time from the decision to move a run until it works elsewhere. */
    private static final long MOVE_MILLIS = 200;

    /** Ratio of the time left here to the time needed elsewhere above which a run is moved. */
    private static final double MOVE_FACTOR = 1.5;

    private RunSpeed() {}

    /**
     * The progress of a run since it was first observed.
     *
     * @param workedMillis time during which the run had the processors that it requests
     * @param gainedPercent progress in this time
     * @param percent progress in total
     */
    public record Progress(long workedMillis, int gainedPercent, int percent) {
        /**
         * Returns whether the run has worked long enough to be compared.
         *
         * @return false shortly after the start of the run
         */
        public boolean isKnown() {
            return workedMillis >= MIN_WORKED_MILLIS;
        }

        /**
         * Returns the time that the whole task would take at the speed of this run.
         *
         * @return milliseconds
         */
        public long projectedMillis() {
            return workedMillis * 100 / Math.max(1, gainedPercent);
        }
    }

    /**
     * Returns the usual duration of a task.
     *
     * @param projectedMillis durations of the other tasks of its step, measured or projected
     * @return the median; 0 if there are too few values
     */
    public static long usualMillis(long[] projectedMillis) {
        if (projectedMillis.length < MIN_PEER_COUNT) {
            return 0;
        }
        long[] sorted = projectedMillis.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    /**
     * Returns whether a run shows that its worker is healthy.
     *
     * @param speed relative speed of the run, where 1 is usual
     * @return true if it advances at least nearly as fast as usual
     */
    public static boolean isNormal(double speed) {
        return speed >= NORMAL_SPEED;
    }

    /**
     * Returns whether a worker is slow.
     *
     * @param speeds relative speeds of its recent runs, where 1 is usual
     * @return true if several runs are slow, or one stands still, and none is normal
     */
    public static boolean isSlowWorker(Collection<Double> speeds) {
        int slowCount = 0;
        boolean standing = false;
        for (double speed : speeds) {
            if (isNormal(speed)) {
                return false;
            }
            slowCount += speed < SLOW_SPEED ? 1 : 0;
            standing |= speed < STANDING_SPEED;
        }
        return standing || slowCount >= MIN_SLOW_COUNT;
    }

    /**
     * Returns whether a run on a slow worker would be completed sooner by another worker.
     *
     * @param progress progress of the run
     * @param usualMillis usual duration of the task
     * @param checkpointing whether the task resumes from its progress on another worker
     * @return false if little time is left or the run is not slow itself
     */
    public static boolean isWorthMoving(
            Progress progress, long usualMillis, boolean checkpointing) {
        int remainingPercent = 100 - progress.percent();
        double hereMillis = progress.projectedMillis() * remainingPercent / 100.0;
        double elsewhereShare = checkpointing ? remainingPercent / 100.0 : 1.0;
        return hereMillis > MOVE_FACTOR * (MOVE_MILLIS + usualMillis * elsewhereShare);
    }
}
