package org.hornbeamward.transport.message;

import java.util.List;

/**
 * Forwards usage samples from a supervisor to the decider.
 *
 * @param workers new samples of each worker
 */
public record UsageReport(List<WorkerSamples> workers) implements PeerMessage {
    /** Copies the list. */
    public UsageReport {
        workers = List.copyOf(workers);
    }
}
