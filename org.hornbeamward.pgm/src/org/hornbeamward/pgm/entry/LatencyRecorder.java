package org.hornbeamward.pgm.entry;

import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.route.front.RequestListener;
import org.hornbeamward.state.HistogramCodec;

/** Records the latency of answered requests by service and counts outcomes. Thread-safe. */
final class LatencyRecorder implements RequestListener {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final ConcurrentHashMap<String, Recorder> mRecorders = new ConcurrentHashMap<>();
    private final LongAdder mAnswered = new LongAdder();
    private final LongAdder mNotRun = new LongAdder();
    private final LongAdder mUnknown = new LongAdder();

    @Override
    public void completed(String service, RequestOutcome outcome, long durationNanos) {
        switch (outcome) {
            case RequestOutcome.Answered answered -> {
                mAnswered.increment();
                mRecorders
                        .computeIfAbsent(service, name -> new Recorder(SIGNIFICANT_DIGITS))
                        .recordValue(Math.max(0, TimeUnit.NANOSECONDS.toMicros(durationNanos)));
            }
            case RequestOutcome.NotRun notRun -> mNotRun.increment();
            case RequestOutcome.Unknown unknown -> mUnknown.increment();
            case RequestOutcome.KeyReused keyReused -> mNotRun.increment();
        }
    }

    /** Returns the encoded histograms of the interval since the last call, by service. */
    SortedMap<String, byte[]> take() {
        SortedMap<String, byte[]> encoded = new TreeMap<>();
        mRecorders.forEach(
                (service, recorder) -> {
                    Histogram interval = recorder.getIntervalHistogram();
                    if (interval.getTotalCount() > 0) {
                        encoded.put(service, HistogramCodec.encode(interval));
                    }
                });
        return encoded;
    }

    long answeredCount() {
        return mAnswered.sum();
    }

    long notRunCount() {
        return mNotRun.sum();
    }

    long unknownCount() {
        return mUnknown.sum();
    }
}
