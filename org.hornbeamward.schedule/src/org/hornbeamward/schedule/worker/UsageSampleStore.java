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
 * Stores the latest usage sample of each task, assembled from messages that carry only changes.
 * Used by supervisors for their workers and by deciders for the samples that supervisors forward.
 * Not thread-safe.
 */
public final class UsageSampleStore {
    private final SortedMap<WorkerId, Entry> mEntries = new TreeMap<>();

    private static final class Entry {
        final long mIncarnation;
        final SortedMap<Long, UsageSample> mSamples = new TreeMap<>();
        final Set<Long> mChangedTokens = new TreeSet<>();
        long mMeasuredMillis;
        boolean mMeasuredAgain;

        Entry(long incarnation) {
            mIncarnation = incarnation;
        }
    }

    /** Creates an empty store. */
    public UsageSampleStore() {}

    /**
     * Adds changed samples. Samples older than the known ones are ignored.
     *
     * @param samples the samples of one worker
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
        entry.mMeasuredAgain |= samples.measuredMillis() > entry.mMeasuredMillis;
        entry.mMeasuredMillis = samples.measuredMillis();
        for (UsageSample sample : samples.samples()) {
            entry.mSamples.put(sample.token(), sample);
            entry.mChangedTokens.add(sample.token());
        }
    }

    /**
     * Returns all known samples of a worker.
     *
     * @param worker the worker
     * @return the latest sample of each measured task, or empty if the worker is unknown
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
     * Removes the samples of ended tasks.
     *
     * @param worker the worker
     * @param tokens tokens of the placements that have not ended
     */
    public void retain(WorkerId worker, Collection<Long> tokens) {
        Entry entry = mEntries.get(worker);
        if (entry != null) {
            entry.mSamples.keySet().retainAll(tokens);
            entry.mChangedTokens.retainAll(tokens);
        }
    }

    /**
     * Returns the samples that have changed since the last call.
     *
     * @param all true to return all samples, for a receiver that does not have the earlier ones
     * @return the workers measured since the last call, with their changed samples
     */
    public UsageReport takeChanged(boolean all) {
        List<WorkerSamples> workers = new ArrayList<>();
        mEntries.forEach(
                (worker, entry) -> {
                    if (entry.mMeasuredAgain || all) {
                        List<UsageSample> samples =
                                entry.mSamples.values().stream()
                                        .filter(
                                                s ->
                                                        all
                                                                || entry.mChangedTokens.contains(
                                                                        s.token()))
                                        .toList();
                        workers.add(
                                new WorkerSamples(
                                        worker,
                                        entry.mIncarnation,
                                        entry.mMeasuredMillis,
                                        samples));
                    }
                    entry.mMeasuredAgain = false;
                    entry.mChangedTokens.clear();
                });
        return new UsageReport(workers);
    }

    /**
     * Removes all workers except the given ones.
     *
     * @param workers the workers to keep
     */
    public void retainWorkers(Collection<WorkerId> workers) {
        mEntries.keySet().retainAll(workers);
    }
}
