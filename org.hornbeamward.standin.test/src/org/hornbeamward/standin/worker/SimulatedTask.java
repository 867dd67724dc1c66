package org.hornbeamward.standin.worker;

import java.util.SplittableRandom;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.transport.message.StartTask;
import org.jspecify.annotations.Nullable;

/**
 * Simulated task. The number of a checkpoint is the work done so far in milliseconds, so a resumed
 * task continues from its checkpoint. The actual run time is 0.5 to 1.5 times the declared one,
 * drawn per task, because declared run times are often inaccurate.
 */
final class SimulatedTask {
    private static final long DEFAULT_RUN_MILLIS = 10_000;

    private final StartTask mStart;
    private final long mTotalWorkMillis;
    private final double mUsageFraction;
    private double mDoneWorkMillis;
    private int mThrottlePercent = 100;
    long mCheckpoint;
    long mLastCheckpointMillis;
    double mSlowdown = 1.0;
    @Nullable Long mStopAtMillis;

    SimulatedTask(StartTask start, long seed, long nowMillis) {
        mStart = start;
        mDoneWorkMillis = start.checkpoint();
        mCheckpoint = start.checkpoint();
        mLastCheckpointMillis = nowMillis;
        SplittableRandom random = new SplittableRandom(seed + start.task().hashCode());
        long declaredMillis =
                start.expectedRunMillis() > 0 ? start.expectedRunMillis() : DEFAULT_RUN_MILLIS;
        mTotalWorkMillis = (long) (declaredMillis * (0.5 + random.nextDouble()));
        mUsageFraction = 0.4 + 0.6 * random.nextDouble();
    }

    StartTask start() {
        return mStart;
    }

    TaskId task() {
        return mStart.task();
    }

    long token() {
        return mStart.token();
    }

    String className() {
        return mStart.className();
    }

    void throttle(int throttlePercent) {
        mThrottlePercent = Math.clamp(throttlePercent, 1, 100);
    }

    int throttlePercent() {
        return mThrottlePercent;
    }

    int usedCpuMillicores() {
        return (int) (mStart.resources().cpuMillicores() * mUsageFraction * mThrottlePercent / 100);
    }

    int usedMemoryMib() {
        return (int) (mStart.resources().memoryMib() * mUsageFraction);
    }

    void run(long elapsedMillis) {
        mDoneWorkMillis += elapsedMillis * (mThrottlePercent / 100.0) / mSlowdown;
    }

    boolean isFinished() {
        return mStart.kind() == JobKind.BATCH && mDoneWorkMillis >= mTotalWorkMillis;
    }

    void checkpoint(long nowMillis) {
        // A requested checkpoint always gets a higher number than the previous one, even if the
        // task has made no progress since.
        mCheckpoint = Math.max(mCheckpoint + 1, (long) mDoneWorkMillis);
        mLastCheckpointMillis = nowMillis;
    }
}
