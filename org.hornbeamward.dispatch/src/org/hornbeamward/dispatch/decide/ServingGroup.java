package org.hornbeamward.dispatch.decide;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The tasks of one serving step. They share the load of their users, which varies over seconds, so
 * the reports of two tasks at the same time differ only by the interference of the fillers beside
 * them. The group turns reports into such differences and tracks the headroom that its tasks would
 * have without fillers.
 */
public final class ServingGroup {
    /** Largest age of a report that is compared; workers with fillers report every half second. */
    private static final long MAX_REPORT_AGE_MILLIS = 800;

    /**
     * Time in which the weight of a report falls to about a third (1/e); shorter than a swing of
     * the load.
     */
    private static final double DECAY_MILLIS = 800.0;

    /**
     * Delay from the measurement of a tail latency to the effect of a new pace: half a report
     * interval, a poll and an order.
     */
    private static final long FORECAST_MILLIS = 700;

    /** Half of the run time of a filler; the deployments' batch tasks take 1.7 to 2.2 s. */
    private static final long HALF_FILLER_RUN_MILLIS = 1_000;

    /** Weight of the lowest headroom seen; the predicted headroom has the remaining weight. */
    private static final double LOWEST_WEIGHT = 0.25;

    /** Weight of the newest report in a task's smoothed deviation from the group. */
    private static final double NEWEST_DEVIATION_WEIGHT = 0.3;

    /**
     * Share of the first reported headroom that is assumed to remain at a load peak that has not
     * been seen yet.
     */
    private static final double INITIAL_LOWEST_SHARE = 0.6;

    /** Rate, in headroom per second, at which the lowest headroom seen is raised again. */
    private static final double LOWEST_RECOVERY_PER_SECOND = 0.04;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * Smallest standard deviation of the report times for which a slope is computed. With less, the
     * noise of the reports outweighs a swing of the load over ten seconds.
     */
    private static final double MIN_TIME_DEVIATION_MILLIS = 300.0;

    private final Map<Integer, TaskState> mTasks = new HashMap<>();
    private long mLastReportMillis = Long.MIN_VALUE;

    // Sums of the exponentially weighted linear regression; times are relative to the last report.
    private double mWeightSum;
    private double mTimeSum;
    private double mTimeSquareSum;
    private double mHeadroomSum;
    private double mProductSum;
    private double mLowestHeadroom = Double.NaN;

    private static final class TaskState {
        private long mReportedMillis;
        private double mHeadroom;
        private Map<String, Double> mFillerCores = Map.of();
        private double mDeviation;
    }

    /**
     * The difference between a task and the other tasks of the group at the same time.
     *
     * @param headroom headroom that the task lacks, compared with the mean of the others
     * @param fillerCores cores in use beside the task less the mean in use beside the others, by
     *     filler image
     */
    public record Difference(double headroom, Map<String, Double> fillerCores) {}

    /**
     * Compares a report with those of the other tasks and records it.
     *
     * @param taskIndex number of the task
     * @param nowMillis time on the monotonic clock
     * @param headroom target over tail latency
     * @param fillerCores cores in use beside the task, by filler image
     * @param fillerHeadroom headroom that these cores are estimated to cost
     * @return the difference, if another task has reported recently
     */
    public Optional<Difference> report(
            int taskIndex,
            long nowMillis,
            double headroom,
            Map<String, Double> fillerCores,
            double fillerHeadroom) {
        Difference difference = difference(taskIndex, nowMillis, headroom, fillerCores);
        TaskState task = mTasks.computeIfAbsent(taskIndex, key -> new TaskState());
        task.mReportedMillis = nowMillis;
        task.mHeadroom = headroom;
        task.mFillerCores = Map.copyOf(fillerCores);
        double unloaded = headroom + fillerHeadroom;
        updateTrend(nowMillis, unloaded);
        task.mDeviation += NEWEST_DEVIATION_WEIGHT * (unloaded - level() - task.mDeviation);
        return Optional.ofNullable(difference);
    }

    private @Nullable Difference difference(
            int taskIndex, long nowMillis, double headroom, Map<String, Double> fillerCores) {
        int count = 0;
        double others = 0;
        Map<String, Double> cores = new HashMap<>(fillerCores);
        for (Map.Entry<Integer, TaskState> entry : mTasks.entrySet()) {
            if (isPeer(entry, taskIndex, nowMillis)) {
                count++;
                others += entry.getValue().mHeadroom;
            }
        }
        if (count == 0) {
            return null;
        }
        for (Map.Entry<Integer, TaskState> entry : mTasks.entrySet()) {
            if (isPeer(entry, taskIndex, nowMillis)) {
                for (Map.Entry<String, Double> used : entry.getValue().mFillerCores.entrySet()) {
                    cores.merge(used.getKey(), -used.getValue() / count, Double::sum);
                }
            }
        }
        return new Difference(others / count - headroom, cores);
    }

    private static boolean isPeer(
            Map.Entry<Integer, TaskState> entry, int taskIndex, long nowMillis) {
        return entry.getKey() != taskIndex
                && nowMillis - entry.getValue().mReportedMillis <= MAX_REPORT_AGE_MILLIS;
    }

    private void updateTrend(long nowMillis, double unloaded) {
        double elapsedMillis =
                mLastReportMillis == Long.MIN_VALUE ? 0 : nowMillis - mLastReportMillis;
        double decay = Math.exp(-elapsedMillis / DECAY_MILLIS);
        // Shifts the time origin to now, then adds the report at time 0.
        mTimeSquareSum =
                decay
                        * (mTimeSquareSum
                                - 2 * elapsedMillis * mTimeSum
                                + elapsedMillis * elapsedMillis * mWeightSum);
        mProductSum = decay * (mProductSum - elapsedMillis * mHeadroomSum);
        mTimeSum = decay * (mTimeSum - elapsedMillis * mWeightSum);
        mWeightSum = decay * mWeightSum + 1;
        mHeadroomSum = decay * mHeadroomSum + unloaded;
        mLastReportMillis = nowMillis;
        if (Double.isNaN(mLowestHeadroom)) {
            mLowestHeadroom = INITIAL_LOWEST_SHARE * unloaded;
        }
        mLowestHeadroom += LOWEST_RECOVERY_PER_SECOND * elapsedMillis / MILLIS_PER_SECOND;
        mLowestHeadroom = Math.min(mLowestHeadroom, level());
    }

    /** Returns the weighted mean of the recent reports. */
    private double level() {
        return mHeadroomSum / mWeightSum;
    }

    private double slope() {
        double determinant = mWeightSum * mTimeSquareSum - mTimeSum * mTimeSum;
        if (determinant
                < mWeightSum * mWeightSum * MIN_TIME_DEVIATION_MILLIS * MIN_TIME_DEVIATION_MILLIS) {
            return 0;
        }
        return (mWeightSum * mProductSum - mTimeSum * mHeadroomSum) / determinant;
    }

    /**
     * Returns whether any task has reported yet.
     *
     * @return true if headroom is known
     */
    public boolean isKnown() {
        return mWeightSum > 0;
    }

    /**
     * Predicts the headroom without fillers of a task at the time when a pace that is set now takes
     * effect. A predicted rise is not counted.
     *
     * @param taskIndex number of the task
     * @return target over tail latency
     */
    public double unloadedHeadroom(int taskIndex) {
        double slope = slope();
        double fitted = level() - slope * mTimeSum / mWeightSum;
        TaskState task = mTasks.get(taskIndex);
        double deviation = task == null ? 0 : task.mDeviation;
        return fitted + Math.min(0, slope) * FORECAST_MILLIS + deviation;
    }

    /**
     * Predicts the headroom without fillers of a task while a filler that starts now runs, assuming
     * that the present trend of the load continues.
     *
     * @param taskIndex number of the task
     * @return target over tail latency
     */
    public double expectedHeadroom(int taskIndex) {
        double slope = slope();
        double fitted = level() - slope * mTimeSum / mWeightSum;
        double predicted = Math.max(mLowestHeadroom, fitted + slope * HALF_FILLER_RUN_MILLIS);
        TaskState task = mTasks.get(taskIndex);
        return (1 - LOWEST_WEIGHT) * predicted
                + LOWEST_WEIGHT * mLowestHeadroom
                + (task == null ? 0 : task.mDeviation);
    }
}
