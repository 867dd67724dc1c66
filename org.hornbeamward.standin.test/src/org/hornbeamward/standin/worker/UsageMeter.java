package org.hornbeamward.standin.worker;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.transport.message.UsageSample;

/** Measures tasks each second with noise, and gives out samples with a lag, only where changed. */
final class UsageMeter {
    private static final long PERIOD_MILLIS = 1_000;
    private static final long LAG_MILLIS = 2_000;
    private static final int MAX_MEASUREMENTS = 10;
    private static final double NOISE = 0.1;
    private static final double CHANGE = 0.15;

    /** Answer time of a service that runs alone, over the agreed period. */
    private static final double LATENCY_ALONE_PERMILLE = 500;

    private final SplittableRandom mRandom;
    private final Deque<Measurement> mWaiting = new ArrayDeque<>();
    private final Map<Long, UsageSample> mReported = new HashMap<>();
    private long mMeasuredMillis;
    private long mTakenMillis;

    private record Measurement(long atMillis, Map<Long, UsageSample> samples) {}

    UsageMeter(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void measure(Collection<SimulatedTask> tasks, long nowMillis) {
        if (nowMillis - mMeasuredMillis < PERIOD_MILLIS) {
            return;
        }
        mMeasuredMillis = nowMillis;
        Map<Long, UsageSample> samples = new LinkedHashMap<>();
        for (SimulatedTask task : tasks) {
            boolean service = task.start().kind() == JobKind.SERVICE;
            samples.put(
                    task.token(),
                    new UsageSample(
                            task.token(),
                            noisy(task.usedCpuMillicores()),
                            noisy(task.usedMemoryMib()),
                            service ? noisy(LATENCY_ALONE_PERMILLE * task.mSlowdown) : 0,
                            task.levelPercent()));
        }
        mWaiting.addLast(new Measurement(nowMillis, samples));
        if (mWaiting.size() > MAX_MEASUREMENTS) {
            mWaiting.removeFirst();
        }
    }

    /** Makes the next answer carry all samples, for a supervisor that has none. */
    void forgetReported() {
        mReported.clear();
    }

    /** Time of the measurement that the last answer told. */
    long takenMillis() {
        return mTakenMillis;
    }

    List<UsageSample> takeChanged(long nowMillis) {
        Map<Long, UsageSample> newest = Map.of();
        while (!mWaiting.isEmpty() && nowMillis - mWaiting.getFirst().atMillis >= LAG_MILLIS) {
            Measurement measurement = mWaiting.removeFirst();
            mTakenMillis = measurement.atMillis;
            newest = measurement.samples;
        }
        List<UsageSample> changed = newest.values().stream().filter(this::changed).toList();
        changed.forEach(sample -> mReported.put(sample.token(), sample));
        if (!newest.isEmpty()) {
            mReported.keySet().retainAll(newest.keySet());
        }
        return changed;
    }

    private boolean changed(UsageSample sample) {
        UsageSample last = mReported.get(sample.token());
        return last == null
                || last.throttlePercent() != sample.throttlePercent()
                || differs(last.cpuMillicores(), sample.cpuMillicores())
                || differs(last.memoryMib(), sample.memoryMib())
                || differs(last.latencyPermille(), sample.latencyPermille());
    }

    private static boolean differs(int before, int after) {
        return Math.abs(after - before) > CHANGE * Math.max(1, before);
    }

    private int noisy(double value) {
        return (int) (value * (1 - NOISE + 2 * NOISE * mRandom.nextDouble()));
    }
}
