package org.hornbeamward.standin.worker;

import java.util.Locale;
import org.hornbeamward.lib.Resources;

/**
 * Event recorded by a stand-in worker.
 *
 * @param worker id of the worker
 * @param incarnation incarnation of the worker at the time of the event
 * @param kind kind of the event
 * @param task id of the task, empty if the event concerns none
 * @param token token of the placement, 0 if none
 * @param checkpoint checkpoint resumed from, written or stopped at
 * @param detail outcome and its cause, reason of a refusal or class of work of a start; otherwise
 *     empty
 * @param committed resources of the tasks on the worker after the event
 * @param monotonicMillis worker's monotonic clock; if the lease lapsed while the worker was paused,
 *     the stops it caused carry the end of the lease, because a pause also stops the tasks' work
 * @param wallMillis wall clock when the event was recorded, in milliseconds since 1970
 */
public record WorkerEvent(
        String worker,
        long incarnation,
        Kind kind,
        String task,
        long token,
        long checkpoint,
        String detail,
        Resources committed,
        long monotonicMillis,
        long wallMillis) {

    /** Kinds of events; their names in lower case appear in JSON. */
    public enum Kind {
        /** A task was started without a checkpoint. */
        STARTED,
        /** A task was started from a checkpoint. */
        RESUMED,
        /** A task wrote a checkpoint. */
        CHECKPOINTED,
        /** A placement ended. */
        ENDED,
        /** The worker refused a message. */
        REFUSED,
        /** The worker's lease lapsed. */
        LEASE_LAPSED,
        /** The worker was paused by a fault. */
        PAUSED,
        /** The pause ended. */
        UNPAUSED,
        /** The worker started a new incarnation. */
        RESTARTED
    }

    /**
     * Returns the kind as shown in JSON.
     *
     * @return name in lower case
     */
    public String kindText() {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
