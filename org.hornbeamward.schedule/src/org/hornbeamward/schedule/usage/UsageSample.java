package org.hornbeamward.schedule.usage;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.lib.WorkerId;

/**
 * Usage measured by one worker at one time. Samples arrive with a delay, may be lost, and are
 * noisy. Immutable.
 *
 * @param worker worker that measured
 * @param workerIncarnation incarnation of the worker
 * @param workerMillis the worker's monotonic clock at the time of measurement; comparable only with
 *     other samples of the same incarnation
 * @param tasks tasks on the worker at the time of measurement
 * @param latencyRatios observed latency divided by the agreed period, per service class on the
 *     worker
 */
public record UsageSample(
        WorkerId worker,
        long workerIncarnation,
        long workerMillis,
        List<TaskUsage> tasks,
        SortedMap<String, Double> latencyRatios) {
    /** Makes immutable copies of the collections. */
    public UsageSample {
        tasks = List.copyOf(tasks);
        latencyRatios = Collections.unmodifiableSortedMap(new TreeMap<>(latencyRatios));
    }
}
