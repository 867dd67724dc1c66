package org.hornbeamward.bench.limits;

import java.util.Random;
import java.util.function.IntConsumer;

/** Endpoint that accepts every request and records how many run concurrently. */
final class VirtualEndpoint {
    private static final double SIGMA = 0.5;
    private static final double FAILURE_TIME_FACTOR = 0.1;
    private static final int OK = 200;
    private static final int FAILED = 500;

    private final VirtualTime mTime;
    private final Random mRandom;
    private final double mMedianNanos;
    private int mRunningCount;
    int mMaxRunningCount;
    boolean mFailing;
    double mSlowFactor = 1;

    VirtualEndpoint(VirtualTime time, Random random, double medianNanos) {
        mTime = time;
        mRandom = random;
        mMedianNanos = medianNanos;
    }

    int runningCount() {
        return mRunningCount;
    }

    /** Runs a request; a failing endpoint answers 500 in a tenth of its usual time. */
    void run(IntConsumer answer) {
        mRunningCount++;
        mMaxRunningCount = Math.max(mMaxRunningCount, mRunningCount);
        boolean failing = mFailing;
        double nanos =
                mMedianNanos
                        * Math.exp(SIGMA * mRandom.nextGaussian())
                        * (failing ? FAILURE_TIME_FACTOR : mSlowFactor);
        mTime.after(
                (long) nanos,
                () -> {
                    mRunningCount--;
                    answer.accept(failing ? FAILED : OK);
                });
    }

    static double meanFactor() {
        return Math.exp(SIGMA * SIGMA / 2);
    }
}
