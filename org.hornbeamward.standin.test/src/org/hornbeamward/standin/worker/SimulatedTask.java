package org.hornbeamward.standin.worker;

import java.util.SplittableRandom;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.transport.message.StartTask;
import org.jspecify.annotations.Nullable;

/**
 * One simulated task. Its checkpoints are numbered by the work done so far in milliseconds, so a
 * resumed task goes on from its checkpoint. The true run time is 0.5 to 1.5 of the declared one,
 * drawn by task, since declarations are often off.
 */
final class SimulatedTask {
    private static final long UNKNOWN_RUN_MILLIS = 10_000;

    private final StartTask mStart;
    private final long mTotalMillis;
    private final double mUseShare;
    private double mDoneMillis;
    private int mLevelPercent = 100;
    long mCheckpoint;
    long mCheckpointedMillis;
    double mSlowdown = 1.0;
    @Nullable Long mStopAtMillis;

    SimulatedTask(StartTask start, long seed, long nowMillis) {
        mStart = start;
        mDoneMillis = start.checkpoint();
        mCheckpoint = start.checkpoint();
        mCheckpointedMillis = nowMillis;
        SplittableRandom random = new SplittableRandom(seed + start.task().hashCode());
        long declared =
                start.expectedRunMillis() > 0 ? start.expectedRunMillis() : UNKNOWN_RUN_MILLIS;
        mTotalMillis = (long) (declared * (0.5 + random.nextDouble()));
        mUseShare = 0.4 + 0.6 * random.nextDouble();
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

    void throttle(int levelPercent) {
        mLevelPercent = Math.clamp(levelPercent, 1, 100);
    }

    int levelPercent() {
        return mLevelPercent;
    }

    int usedCpuMillicores() {
        return (int) (mStart.resources().cpuMillicores() * mUseShare * mLevelPercent / 100);
    }

    int usedMemoryMib() {
        return (int) (mStart.resources().memoryMib() * mUseShare);
    }

    void run(long elapsedMillis) {
        mDoneMillis += elapsedMillis * (mLevelPercent / 100.0) / mSlowdown;
    }

    boolean finished() {
        return mStart.kind() == JobKind.BATCH && mDoneMillis >= mTotalMillis;
    }

    void checkpoint(long nowMillis) {
        // A checkpoint that was asked for always has a higher number than the one before.
        mCheckpoint = Math.max(mCheckpoint + 1, (long) mDoneMillis);
        mCheckpointedMillis = nowMillis;
    }
}
