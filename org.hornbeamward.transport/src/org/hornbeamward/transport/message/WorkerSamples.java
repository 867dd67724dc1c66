package org.hornbeamward.transport.message;

import java.util.List;
import org.hornbeamward.lib.WorkerId;

/**
 * Usage samples of one worker. For a task without a sample, the previous sample still holds.
 *
 * @param worker the worker
 * @param incarnation incarnation of the worker
 * @param measuredMillis reading of the worker's monotonic clock when the usage was measured
 * @param samples samples of the tasks whose usage has changed
 */
public record WorkerSamples(
        WorkerId worker, long incarnation, long measuredMillis, List<UsageSample> samples) {
    /** Copies the list. */
    public WorkerSamples {
        samples = List.copyOf(samples);
    }
}
