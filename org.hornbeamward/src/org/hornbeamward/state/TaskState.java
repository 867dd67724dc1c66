package org.hornbeamward.state;

import org.hornbeamward.command.StopReason;
import org.hornbeamward.lib.WorkerId;

/** The state of a task. Immutable. */
public sealed interface TaskState {

    /** Waiting for placement. */
    record Pending() implements TaskState {}

    /**
     * Placed on a worker and starting or running.
     *
     * @param worker worker on which it is placed
     * @param workerIncarnation that worker's incarnation
     * @param token fencing token of the placement
     */
    record Placed(WorkerId worker, long workerIncarnation, long token) implements TaskState {}

    /**
     * Being stopped; still holds its resources.
     *
     * @param worker worker on which it is placed
     * @param workerIncarnation that worker's incarnation
     * @param token fencing token of the placement
     * @param reason why it is stopped
     */
    record Stopping(WorkerId worker, long workerIncarnation, long token, StopReason reason)
            implements TaskState {}

    /**
     * Ended for good; does not run again.
     *
     * @param result how it ended
     */
    record Ended(TaskResult result) implements TaskState {}
}
