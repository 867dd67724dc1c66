package org.hornbeamward.state;

import org.hornbeamward.command.StopReason;
import org.hornbeamward.lib.WorkerId;

/** Where a task stands. Immutable. */
public sealed interface TaskState {

    /** Waits for a placement. */
    record Pending() implements TaskState {}

    /**
     * Was placed and is starting or running.
     *
     * @param worker where
     * @param workerIncarnation that worker's incarnation
     * @param token fencing token of the placement
     */
    record Placed(WorkerId worker, long workerIncarnation, long token) implements TaskState {}

    /**
     * Is being stopped and still holds its resources.
     *
     * @param worker where
     * @param workerIncarnation that worker's incarnation
     * @param token fencing token of the placement
     * @param reason why it is stopped
     */
    record Stopping(WorkerId worker, long workerIncarnation, long token, StopReason reason)
            implements TaskState {}

    /**
     * Will not run again.
     *
     * @param result how it ended
     */
    record Ended(TaskResult result) implements TaskState {}
}
