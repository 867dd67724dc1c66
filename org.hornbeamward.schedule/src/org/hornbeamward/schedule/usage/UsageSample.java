package org.hornbeamward.schedule.usage;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.lib.WorkerId;

/**
 * What one worker measured at one time. Samples arrive with a lag, may be lost, and are noisy.
 * Immutable.
 *
 * @param worker the worker
 * @param workerIncarnation its incarnation
 * @param workerMillis the worker's monotonic clock at the time of measurement; comparable only with
 *     other samples of the same incarnation
 * @param tasks tasks present at the time of measurement
 * @param latencyRatios per class of service present, observed latency over the agreed period
 */
public record UsageSample(
        WorkerId worker,
        long workerIncarnation,
        long workerMillis,
        List<TaskUsage> tasks,
        SortedMap<String, Double> latencyRatios) {
    /** Copies the collections. */
    public UsageSample {
        tasks = List.copyOf(tasks);
        latencyRatios = Collections.unmodifiableSortedMap(new TreeMap<>(latencyRatios));
    }
}
