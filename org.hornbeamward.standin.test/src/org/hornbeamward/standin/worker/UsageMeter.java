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

/** Measures the usage of tasks each second with noise; reports changed samples after a delay. */
final class UsageMeter {
    private static final long MEASURE_INTERVAL_MILLIS = 1_000;
    private static final long REPORT_DELAY_MILLIS = 2_000;
    private static final int MAX_PENDING_COUNT = 10;
    private static final double NOISE_FRACTION = 0.1;
    private static final double CHANGE_THRESHOLD_FRACTION = 0.15;

    /** Latency of a service without interference, in permille of its agreed period. */
    private static final double UNLOADED_LATENCY_PERMILLE = 500;

    private final SplittableRandom mRandom;
    private final Deque<Measurement> mPendingMeasurements = new ArrayDeque<>();
    private final Map<Long, UsageSample> mReportedSamples = new HashMap<>();
    private long mLastMeasureMillis;
    private long mReportedMeasureMillis;

    private record Measurement(long atMillis, Map<Long, UsageSample> samples) {}

    UsageMeter(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void measure(Collection<SimulatedTask> tasks, long nowMillis) {
        if (nowMillis - mLastMeasureMillis < MEASURE_INTERVAL_MILLIS) {
            return;
        }
        mLastMeasureMillis = nowMillis;
        Map<Long, UsageSample> samples = new LinkedHashMap<>();
        for (SimulatedTask task : tasks) {
            boolean service = task.start().kind() == JobKind.SERVICE;
            samples.put(
                    task.token(),
                    new UsageSample(
                            task.token(),
                            addNoise(task.usedCpuMillicores()),
                            addNoise(task.usedMemoryMib()),
                            service ? addNoise(UNLOADED_LATENCY_PERMILLE * task.mSlowdown) : 0,
                            task.throttlePercent()));
        }
        mPendingMeasurements.addLast(new Measurement(nowMillis, samples));
        if (mPendingMeasurements.size() > MAX_PENDING_COUNT) {
            mPendingMeasurements.removeFirst();
        }
    }

    /** Makes the next report carry all samples, for a supervisor that has received none. */
    void clearReported() {
        mReportedSamples.clear();
    }

    /** Returns the time of the newest measurement that was reported, 0 before the first. */
    long reportedMeasureMillis() {
        return mReportedMeasureMillis;
    }

    List<UsageSample> takeChangedSamples(long nowMillis) {
        Map<Long, UsageSample> newest = Map.of();
        while (!mPendingMeasurements.isEmpty()
                && nowMillis - mPendingMeasurements.getFirst().atMillis >= REPORT_DELAY_MILLIS) {
            Measurement measurement = mPendingMeasurements.removeFirst();
            mReportedMeasureMillis = measurement.atMillis;
            newest = measurement.samples;
        }
        List<UsageSample> changed = newest.values().stream().filter(this::isChanged).toList();
        changed.forEach(sample -> mReportedSamples.put(sample.token(), sample));
        if (!newest.isEmpty()) {
            mReportedSamples.keySet().retainAll(newest.keySet());
        }
        return changed;
    }

    private boolean isChanged(UsageSample sample) {
        UsageSample last = mReportedSamples.get(sample.token());
        return last == null
                || last.throttlePercent() != sample.throttlePercent()
                || exceedsThreshold(last.cpuMillicores(), sample.cpuMillicores())
                || exceedsThreshold(last.memoryMib(), sample.memoryMib())
                || exceedsThreshold(last.latencyPermille(), sample.latencyPermille());
    }

    private static boolean exceedsThreshold(int before, int after) {
        return Math.abs(after - before) > CHANGE_THRESHOLD_FRACTION * Math.max(1, before);
    }

    private int addNoise(double value) {
        return (int) (value * (1 - NOISE_FRACTION + 2 * NOISE_FRACTION * mRandom.nextDouble()));
    }
}
