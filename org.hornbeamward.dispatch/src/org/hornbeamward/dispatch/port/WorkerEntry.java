package org.hornbeamward.dispatch.port;

import java.util.Set;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/**
 * The entry that a worker publishes about itself.
 *
 * @param id id of the worker
 * @param incarnationStartWallMillis start time of its current incarnation, in Unix milliseconds;
 *     distinguishes incarnations with the same id
 * @param pool pool to which it belongs
 * @param address host and port of its control interface
 * @param domain failure domain in which it is located
 * @param rack rack in which it is located; empty if it declares none
 * @param labels its labels, the rack among them
 * @param capacity resources that it offers
 * @param draining whether it is draining, that is, about to leave
 * @param drainLeftMillis least time until it has left; 0 unless it is draining
 * @param clockMillis its monotonic clock when it wrote the entry
 */
public record WorkerEntry(
        WorkerId id,
        long incarnationStartWallMillis,
        String pool,
        String address,
        FailureDomainId domain,
        String rack,
        Set<String> labels,
        Resources capacity,
        boolean draining,
        long drainLeftMillis,
        long clockMillis) {

    /** Copies the labels. */
    public WorkerEntry {
        labels = Set.copyOf(labels);
    }

    /**
     * Creates the entry of a worker that is known only from a run: it offers no resources and has
     * no address.
     *
     * @param id id of the worker
     * @param incarnationStartWallMillis start time of the incarnation that was ordered to start the
     *     run
     * @return an entry that no task fits on
     */
    public static WorkerEntry unlisted(WorkerId id, long incarnationStartWallMillis) {
        return new WorkerEntry(
                id,
                incarnationStartWallMillis,
                "",
                "",
                new FailureDomainId("unknown"),
                "",
                Set.of(),
                Resources.NONE,
                true,
                0,
                0);
    }

    /**
     * Returns the entry of a later incarnation that has not published its own entry yet.
     *
     * @param startWallMillis start time of the later incarnation
     * @param newClockMillis its monotonic clock
     * @return an entry with the same address
     */
    public WorkerEntry ofLaterIncarnation(long startWallMillis, long newClockMillis) {
        return new WorkerEntry(
                id,
                startWallMillis,
                pool,
                address,
                domain,
                rack,
                labels,
                capacity,
                draining,
                drainLeftMillis,
                newClockMillis);
    }
}
