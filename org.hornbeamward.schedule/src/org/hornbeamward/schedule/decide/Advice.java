package org.hornbeamward.schedule.decide;

import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/**
 * A wish to a worker's supervisor that changes no shared state. It may be lost; the decider repeats
 * it while the measurements call for it.
 *
 * @param kind what to do
 * @param worker where the task runs
 * @param task the task
 * @param token fencing token of its placement
 * @param throttlePercent share of the declared processors that it may use, 100 lifts the limit
 */
public record Advice(Kind kind, WorkerId worker, TaskId task, long token, int throttlePercent) {
    /** Kinds of advice. */
    public enum Kind {
        /** Limit the task's processors. */
        THROTTLE,
        /** Write a checkpoint now. */
        CHECKPOINT
    }
}
