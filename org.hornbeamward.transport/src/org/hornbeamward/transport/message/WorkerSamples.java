package org.hornbeamward.transport.message;

import java.util.List;
import org.hornbeamward.lib.WorkerId;

/**
 * Samples of one worker.
 *
 * @param worker the worker
 * @param samples the newest sample of each of its tasks
 */
public record WorkerSamples(WorkerId worker, List<UsageSample> samples) {
    /** Copies the lists. */
    public WorkerSamples {
        samples = List.copyOf(samples);
    }
}
