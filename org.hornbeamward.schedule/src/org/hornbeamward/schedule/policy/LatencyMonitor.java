package org.hornbeamward.schedule.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.schedule.usage.TaskUsage;
import org.hornbeamward.schedule.usage.UsageSample;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the latency of the services on one worker and the last reduction made because of it. A
 * reduction is complete when a sample shows its effect, so that clocks of different machines need
 * not be compared; only later samples are considered for the next reduction.
 */
final class LatencyMonitor {
    /** Number of samples after the last reduction that are required for the next one. */
    static final int MIN_REDUCTION_SAMPLES = 3;

    /**
     * Number of samples required before a throttle is lifted; more than for a reduction, to prevent
     * oscillation.
     */
    static final int MIN_UNTHROTTLE_SAMPLES = 6;

    /**
     * Time, by the worker's clock, after which a reduction without visible effect is considered
     * lost.
     */
    private static final long REDUCTION_TIMEOUT_MILLIS = 40_000;

    /** Time, by the worker's clock, after which a requested checkpoint is assumed to be written. */
    private static final long CHECKPOINT_WRITTEN_MILLIS = 20_000;

    private final Deque<Double> mWorstRatios = new ArrayDeque<>();
    private final Map<String, Long> mAvoidedUntilNanos = new HashMap<>();
    final Map<Long, Integer> mThrottlePercentByToken = new HashMap<>();
    final Map<Long, Boolean> mCheckpointedByToken = new HashMap<>();
    private @Nullable Reduction mPendingReduction;
    private long mReductionMillis;
    private long mLastSampleMillis;

    LatencyMonitor() {}

    void observe(UsageSample sample) {
        mLastSampleMillis = sample.workerMillis();
        mThrottlePercentByToken.clear();
        for (TaskUsage usage : sample.tasks()) {
            mThrottlePercentByToken.put(usage.token(), usage.throttlePercent());
        }
        mCheckpointedByToken.keySet().retainAll(mThrottlePercentByToken.keySet());
        Reduction reduction = mPendingReduction;
        if (reduction != null) {
            if (!isComplete(reduction)
                    && sample.workerMillis() - mReductionMillis < REDUCTION_TIMEOUT_MILLIS) {
                return;
            }
            mPendingReduction = null;
            mWorstRatios.clear();
        }
        double worstRatio =
                sample.latencyRatios().values().stream().mapToDouble(r -> r).max().orElse(0);
        mWorstRatios.addLast(worstRatio);
        if (mWorstRatios.size() > MIN_UNTHROTTLE_SAMPLES) {
            mWorstRatios.removeFirst();
        }
    }

    private boolean isComplete(Reduction reduction) {
        Integer percent = mThrottlePercentByToken.get(reduction.task().token());
        return switch (reduction.kind()) {
            case THROTTLE -> percent == null || percent == reduction.throttlePercent();
            case CHECKPOINT ->
                    percent == null
                            || mLastSampleMillis - mReductionMillis > CHECKPOINT_WRITTEN_MILLIS;
            case STOP -> percent == null;
        };
    }

    /** Returns whether the worst latency ratio was above a limit in each of the last samples. */
    boolean isLatencyAbove(double limit) {
        return mPendingReduction == null
                && mWorstRatios.size() >= MIN_REDUCTION_SAMPLES
                && List.copyOf(mWorstRatios)
                        .subList(mWorstRatios.size() - MIN_REDUCTION_SAMPLES, mWorstRatios.size())
                        .stream()
                        .allMatch(ratio -> ratio > limit);
    }

    /** Returns whether the worst latency ratio was below a limit in each of the last samples. */
    boolean isLatencyBelow(double limit) {
        return mPendingReduction == null
                && mWorstRatios.size() >= MIN_UNTHROTTLE_SAMPLES
                && mWorstRatios.stream().allMatch(ratio -> ratio < limit);
    }

    void recordReduction(Reduction reduction) {
        mPendingReduction = reduction;
        mReductionMillis = mLastSampleMillis;
        if (reduction.kind() == Reduction.Kind.CHECKPOINT) {
            mCheckpointedByToken.put(reduction.task().token(), true);
        }
    }

    void avoidClass(String className, long untilNanos) {
        mAvoidedUntilNanos.put(className, untilNanos);
    }

    boolean avoidsClass(String className, long nowNanos) {
        Long untilNanos = mAvoidedUntilNanos.get(className);
        return untilNanos != null && nowNanos < untilNanos;
    }
}
