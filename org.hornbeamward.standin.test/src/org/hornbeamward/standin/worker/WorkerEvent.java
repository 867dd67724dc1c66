package org.hornbeamward.standin.worker;

import java.util.Locale;
import org.hornbeamward.lib.Resources;

/**
 * One event in a stand-in worker's record.
 *
 * @param worker the worker
 * @param incarnation its incarnation at the event
 * @param kind what happened
 * @param task the task, empty if the event concerns none
 * @param token token of the placement, 0 if none
 * @param checkpoint checkpoint resumed from, written or stopped at
 * @param detail outcome or reason
 * @param committed resources of the tasks on the worker after the event
 * @param monotonicMillis reading of the worker's monotonic clock; a stop caused by a lapsed lease
 *     carries the end of the lease if the worker was paused then, since tasks are paused with it
 * @param wallMillis wall clock at the recording, in milliseconds since 1970
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

    /** What an event tells. */
    public enum Kind {
        /** A task was started without a checkpoint. */
        STARTED,
        /** A task was started from a checkpoint. */
        RESUMED,
        /** A task wrote a checkpoint. */
        CHECKPOINTED,
        /** A task has ended. */
        ENDED,
        /** A message was refused. */
        REFUSED,
        /** The worker's lease has lapsed. */
        LEASE_LAPSED,
        /** The worker was paused by a fault. */
        PAUSED,
        /** The worker runs on. */
        UNPAUSED,
        /** The worker runs under a new incarnation. */
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
