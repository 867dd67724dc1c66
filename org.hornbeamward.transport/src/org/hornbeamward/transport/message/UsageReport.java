package org.hornbeamward.transport.message;

import java.util.List;

/**
 * Forwards usage from a supervisor to the decider.
 *
 * @param workers workers with new samples
 */
public record UsageReport(List<WorkerSamples> workers) implements PeerMessage {
    /** Copies the lists. */
    public UsageReport {
        workers = List.copyOf(workers);
    }
}
