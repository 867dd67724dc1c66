package org.hornbeamward.transport.message;

import java.util.List;
import org.hornbeamward.lib.WorkerId;

/**
 * Samples of one worker. A task that is left out uses what was told before.
 *
 * @param worker the worker
 * @param incarnation its incarnation
 * @param measuredMillis the worker's monotonic clock at the measurement
 * @param samples samples that have changed
 */
public record WorkerSamples(
        WorkerId worker, long incarnation, long measuredMillis, List<UsageSample> samples) {
    /** Copies the lists. */
    public WorkerSamples {
        samples = List.copyOf(samples);
    }
}
