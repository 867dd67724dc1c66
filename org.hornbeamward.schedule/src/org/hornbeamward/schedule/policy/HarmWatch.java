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
 * Measured harm to the services of one worker, and the last action against it. An action counts as
 * done when a sample shows its effect, so no clocks are compared; only later samples count for the
 * next action.
 */
final class HarmWatch {
    /** Samples newer than the last action that an action needs. */
    static final int SAMPLES_NEEDED = 3;

    /** Samples needed before a throttle is lifted; more than to act, so that it does not swing. */
    static final int CALM_SAMPLES_NEEDED = 6;

    /** An action without visible effect after this worker time was lost. */
    private static final long LOST_MILLIS = 40_000;

    /** Worker time after which a checkpoint that was asked for is taken as written. */
    private static final long CHECKPOINT_MILLIS = 20_000;

    private final Deque<Double> mWorst = new ArrayDeque<>();
    private final Map<String, Long> mAvoidedUntilNanos = new HashMap<>();
    final Map<Long, Integer> mThrottlePercentByToken = new HashMap<>();
    final Map<Long, Boolean> mCheckpointedByToken = new HashMap<>();
    private @Nullable Reduction mAction;
    private long mActionMillis;
    private long mLastMillis;

    HarmWatch() {}

    void observe(UsageSample sample) {
        mLastMillis = sample.workerMillis();
        mThrottlePercentByToken.clear();
        for (TaskUsage usage : sample.tasks()) {
            mThrottlePercentByToken.put(usage.token(), usage.throttlePercent());
        }
        mCheckpointedByToken.keySet().retainAll(mThrottlePercentByToken.keySet());
        Reduction action = mAction;
        if (action != null) {
            if (!isDone(action) && sample.workerMillis() - mActionMillis < LOST_MILLIS) {
                return;
            }
            mAction = null;
            mWorst.clear();
        }
        double worst = sample.latencyRatios().values().stream().mapToDouble(r -> r).max().orElse(0);
        mWorst.addLast(worst);
        if (mWorst.size() > CALM_SAMPLES_NEEDED) {
            mWorst.removeFirst();
        }
    }

    private boolean isDone(Reduction action) {
        Integer percent = mThrottlePercentByToken.get(action.task().token());
        return switch (action.kind()) {
            case THROTTLE -> percent == null || percent == action.throttlePercent();
            case CHECKPOINT -> percent == null || mLastMillis - mActionMillis > CHECKPOINT_MILLIS;
            case STOP -> percent == null;
        };
    }

    /** Tells whether the last samples were all above a limit. */
    boolean harmedAbove(double limit) {
        return mAction == null
                && mWorst.size() >= SAMPLES_NEEDED
                && List.copyOf(mWorst)
                        .subList(mWorst.size() - SAMPLES_NEEDED, mWorst.size())
                        .stream()
                        .allMatch(ratio -> ratio > limit);
    }

    /** Tells whether the last samples were all below a limit. */
    boolean calmBelow(double limit) {
        return mAction == null
                && mWorst.size() >= CALM_SAMPLES_NEEDED
                && mWorst.stream().allMatch(ratio -> ratio < limit);
    }

    void acted(Reduction action) {
        mAction = action;
        mActionMillis = mLastMillis;
        if (action.kind() == Reduction.Kind.CHECKPOINT) {
            mCheckpointedByToken.put(action.task().token(), true);
        }
    }

    void avoid(String className, long untilNanos) {
        mAvoidedUntilNanos.put(className, untilNanos);
    }

    boolean avoids(String className, long nowNanos) {
        Long untilNanos = mAvoidedUntilNanos.get(className);
        return untilNanos != null && nowNanos < untilNanos;
    }
}
