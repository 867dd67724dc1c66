package org.hornbeamward.schedule.policy;

import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.TaskId;

/**
 * A task that holds resources of a worker, or will hold them once a decision in flight is applied.
 *
 * @param task id of the task
 * @param token fencing token of its placement, 0 while the decision is in flight
 * @param spec its job's declaration
 */
public record ResidentTask(TaskId task, long token, JobSpec spec) {

    /**
     * Returns whether the task is batch work.
     *
     * @return true for batch
     */
    public boolean batch() {
        return spec.kind() == JobKind.BATCH;
    }
}
