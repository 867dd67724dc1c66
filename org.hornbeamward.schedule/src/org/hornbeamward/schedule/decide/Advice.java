package org.hornbeamward.schedule.decide;

import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/**
 * A request to a worker's supervisor that changes no replicated state. Delivery is best effort; the
 * decider repeats a request for as long as the measurements justify it.
 *
 * @param kind the requested action
 * @param worker the worker that runs the task
 * @param task task that the request is about
 * @param token fencing token of its placement
 * @param throttlePercent share of the declared processors that it may use, 100 lifts the limit
 */
public record Advice(Kind kind, WorkerId worker, TaskId task, long token, int throttlePercent) {
    /** Requested actions. */
    public enum Kind {
        /** Limit the task's processors. */
        THROTTLE,
        /** Write a checkpoint immediately. */
        CHECKPOINT
    }
}
