package org.hornbeamward.schedule.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.transport.message.UsageReport;
import org.hornbeamward.transport.message.UsageSample;
import org.hornbeamward.transport.message.WorkerSamples;

/** The newest usage sample of each task, and which of them were not forwarded yet. */
final class UsageBook {
    private final SortedMap<WorkerId, SortedMap<Long, Entry>> mSamples = new TreeMap<>();

    private static final class Entry {
        final UsageSample mSample;
        final long mSampledNanos;
        boolean mForwarded;

        Entry(UsageSample sample, long sampledNanos) {
            mSample = sample;
            mSampledNanos = sampledNanos;
        }

        UsageSample at(long nowNanos) {
            return new UsageSample(
                    mSample.token(),
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - mSampledNanos),
                    mSample.cpuMillicores(),
                    mSample.memoryMib(),
                    mSample.slowdownPermille());
        }
    }

    void add(WorkerId worker, List<UsageSample> samples, long nowNanos) {
        for (UsageSample sample : samples) {
            long sampledNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(sample.ageMillis());
            mSamples.computeIfAbsent(worker, id -> new TreeMap<>())
                    .put(sample.token(), new Entry(sample, sampledNanos));
        }
    }

    void retain(WorkerId worker, Collection<Long> tokens) {
        SortedMap<Long, Entry> samples = mSamples.get(worker);
        if (samples != null) {
            samples.keySet().retainAll(tokens);
        }
    }

    void remove(WorkerId worker) {
        mSamples.remove(worker);
    }

    UsageReport takeChanged(long nowNanos) {
        List<WorkerSamples> workers = new ArrayList<>();
        mSamples.forEach(
                (worker, entries) -> {
                    List<UsageSample> changed = new ArrayList<>();
                    for (Entry entry : entries.values()) {
                        if (!entry.mForwarded) {
                            entry.mForwarded = true;
                            changed.add(entry.at(nowNanos));
                        }
                    }
                    if (!changed.isEmpty()) {
                        workers.add(new WorkerSamples(worker, changed));
                    }
                });
        return new UsageReport(workers);
    }
}
