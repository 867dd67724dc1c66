package org.hornbeamward.bench.fake;

import java.util.SplittableRandom;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * Placement of a task on a fake worker, with traits that its job specification does not declare.
 */
final class FakeTask {
    final TaskId mTask;
    final JobSpec mSpec;
    final long mToken;
    final int mClassIndex;

    /** Cores used when not throttled; for services, at load 1. */
    final double mCores;

    final long mMemoryMib;

    /** Factor on the contention that the class of this task causes for others. */
    final double mIntensity;

    /** Run time without interference. */
    final double mWorkSeconds;

    double mDoneSeconds;
    double mSavedSeconds;
    double mRate = 1;
    int mThrottlePercent = 100;
    long mStartNanos;
    long mNextCheckpointNanos;
    long mEndNanos = Long.MAX_VALUE;
    boolean mStarted;
    @Nullable TaskOutcome mEndOutcome;
    @Nullable StopReason mStopReason;

    /**
     * Draws the undeclared traits from the seed and the task id, so that they are the same under
     * every policy.
     */
    FakeTask(
            long seed, TaskId task, JobSpec spec, long token, int classIndex, double savedSeconds) {
        mTask = task;
        mSpec = spec;
        mToken = token;
        mClassIndex = classIndex;
        mSavedSeconds = savedSeconds;
        mDoneSeconds = savedSeconds;
        SplittableRandom random =
                new SplittableRandom(seed * 1_000_003 + task.toString().hashCode());
        double declaredCores = spec.resources().cpuMillicores() / 1000.0;
        if (spec.kind() == JobKind.SERVICE) {
            mCores = declaredCores * 0.5;
            mIntensity = 1;
            mMemoryMib = spec.resources().memoryMib();
            mWorkSeconds = Double.POSITIVE_INFINITY;
        } else {
            // Declared resources are mostly too large and sometimes too small.
            mCores = declaredCores * Math.min(1.5, 0.75 * Distributions.logNormal(random, 0.3));
            mIntensity = Distributions.logNormal(random, 0.3);
            mMemoryMib =
                    (long)
                            (spec.resources().memoryMib()
                                    * 0.75
                                    * Distributions.logNormal(random, 0.3));
            // Declared run times are off by a factor of 2 for a third of the tasks.
            mWorkSeconds = spec.expectedRunMillis() / 1000.0 * Distributions.logNormal(random, 0.7);
        }
    }

    boolean service() {
        return mSpec.kind() == JobKind.SERVICE;
    }

    boolean stopping() {
        return mStopReason != null;
    }
}
