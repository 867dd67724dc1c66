package org.hornbeamward.schedule.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.transport.message.UsageReport;
import org.hornbeamward.transport.message.UsageSample;
import org.hornbeamward.transport.message.WorkerSamples;

/**
 * The newest usage sample of each task, put together from messages that carry changes only. Used by
 * supervisors for their workers and by deciders for what supervisors forward. Not safe for use by
 * several threads.
 */
public final class UsageBook {
    private final SortedMap<WorkerId, Entry> mEntries = new TreeMap<>();

    private static final class Entry {
        final long mIncarnation;
        final SortedMap<Long, UsageSample> mSamples = new TreeMap<>();
        final Set<Long> mChanged = new TreeSet<>();
        long mMeasuredMillis;
        boolean mNewer;

        Entry(long incarnation) {
            mIncarnation = incarnation;
        }
    }

    /** Creates an empty book. */
    public UsageBook() {}

    /**
     * Takes changed samples. Older samples than those known are ignored.
     *
     * @param samples samples of one worker
     */
    public void add(WorkerSamples samples) {
        Entry entry = mEntries.get(samples.worker());
        if (entry == null || entry.mIncarnation != samples.incarnation()) {
            entry = new Entry(samples.incarnation());
            mEntries.put(samples.worker(), entry);
        }
        if (samples.measuredMillis() < entry.mMeasuredMillis) {
            return;
        }
        entry.mNewer |= samples.measuredMillis() > entry.mMeasuredMillis;
        entry.mMeasuredMillis = samples.measuredMillis();
        for (UsageSample sample : samples.samples()) {
            entry.mSamples.put(sample.token(), sample);
            entry.mChanged.add(sample.token());
        }
    }

    /**
     * Returns everything known of a worker.
     *
     * @param worker the worker
     * @return a sample of each of its tasks that was measured, or empty
     */
    public Optional<WorkerSamples> current(WorkerId worker) {
        Entry entry = mEntries.get(worker);
        if (entry == null) {
            return Optional.empty();
        }
        List<UsageSample> samples = List.copyOf(entry.mSamples.values());
        return Optional.of(
                new WorkerSamples(worker, entry.mIncarnation, entry.mMeasuredMillis, samples));
    }

    /**
     * Drops the samples of tasks that have ended.
     *
     * @param worker the worker
     * @param tokens placements that have not ended
     */
    public void retain(WorkerId worker, Collection<Long> tokens) {
        Entry entry = mEntries.get(worker);
        if (entry != null) {
            entry.mSamples.keySet().retainAll(tokens);
            entry.mChanged.retainAll(tokens);
        }
    }

    /**
     * Returns what has changed since the last call.
     *
     * @param all true to return all samples, for a receiver that does not have the former ones
     * @return workers that were measured again, with the changed samples
     */
    public UsageReport takeChanged(boolean all) {
        List<WorkerSamples> workers = new ArrayList<>();
        mEntries.forEach(
                (worker, entry) -> {
                    if (entry.mNewer || all) {
                        List<UsageSample> samples =
                                entry.mSamples.values().stream()
                                        .filter(s -> all || entry.mChanged.contains(s.token()))
                                        .toList();
                        workers.add(
                                new WorkerSamples(
                                        worker,
                                        entry.mIncarnation,
                                        entry.mMeasuredMillis,
                                        samples));
                    }
                    entry.mNewer = false;
                    entry.mChanged.clear();
                });
        return new UsageReport(workers);
    }

    /**
     * Drops all workers but some.
     *
     * @param workers workers to keep
     */
    public void retainWorkers(Collection<WorkerId> workers) {
        mEntries.keySet().retainAll(workers);
    }
}
