package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hornbeamward.config.TeamConfig;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.JobStatus;
import org.hornbeamward.state.TaskStatus;
import org.hornbeamward.state.WorkerStatus;

/**
 * The reason why a pending task has no placement, by the rules of {@code PlaceTask}. Each worker is
 * counted under the first rule that excludes it, in the order of the constants.
 */
enum WaitReason {
    /** The team has no configuration entry. */
    TEAM_NOT_CONFIGURED("the team is not configured; add its team/ entry"),
    /** The task would exceed the team's quota. */
    QUOTA("the team's quota is used up; wait for its tasks to end or raise the quota"),
    /** No worker is registered. */
    NO_WORKERS("no worker is registered; check the workers and their addresses"),
    /** The task exceeds the capacity of every worker. */
    TOO_LARGE("the task is larger than every worker; declare less"),
    /** Workers are in a failure domain that was taken out of service. */
    FAILURE_DOMAIN_OUT("the workers that could run it are in a failure domain that is out"),
    /** Workers are quarantined. */
    QUARANTINED("the workers that could run it are quarantined; check and release them"),
    /** The task has already failed on the workers. */
    FAILED_WORKERS("the task has failed on the workers that are left"),
    /** No worker has enough free resources. */
    NOT_ENOUGH_FREE("no worker has enough free; wait for other tasks to end"),
    /** A worker has enough free resources; the scheduler has not placed the task yet. */
    WAITS_FOR_DECISION("a worker has room; the task waits for its turn in the queue");

    private static final WaitReason[] WORKER_REASONS = {
        TOO_LARGE, FAILURE_DOMAIN_OUT, QUARANTINED, FAILED_WORKERS, NOT_ENOUGH_FREE
    };

    private final String mText;

    WaitReason(String text) {
        mText = text;
    }

    /** Explains why a task is pending: reason, text and number of workers excluded by each rule. */
    static ObjectNode explain(ClusterState state, JobStatus job, TaskStatus task) {
        int[] counts = new int[values().length];
        for (WorkerStatus worker : state.work().workers().values()) {
            counts[workerReason(state, job, task, worker).ordinal()]++;
        }
        WaitReason reason = taskReason(state, job, counts);
        ObjectNode node = JsonDocuments.object();
        node.put("reason", reason.name()).put("text", reason.mText);
        ObjectNode workers = node.putObject("workers");
        for (WaitReason excluded : WORKER_REASONS) {
            workers.put(excluded.name(), counts[excluded.ordinal()]);
        }
        workers.put("WITH_ROOM", counts[WAITS_FOR_DECISION.ordinal()]);
        return node;
    }

    private static WaitReason taskReason(ClusterState state, JobStatus job, int[] counts) {
        TeamConfig team = state.config().configuration().teams().get(job.spec().team());
        if (team == null) {
            return TEAM_NOT_CONFIGURED;
        }
        Resources used = state.work().usedBy(job.spec().team()).plus(job.spec().resources());
        if (!used.fitsIn(team.quota())) {
            return QUOTA;
        }
        if (state.work().workers().isEmpty()) {
            return NO_WORKERS;
        }
        // Report the last reason that applies to any worker: it is the closest to a placement, and
        // the one that an operator can act on.
        for (int index = values().length - 1; index >= TOO_LARGE.ordinal(); index--) {
            if (counts[index] > 0) {
                return values()[index];
            }
        }
        return NO_WORKERS;
    }

    private static WaitReason workerReason(
            ClusterState state, JobStatus job, TaskStatus task, WorkerStatus worker) {
        Resources need = job.spec().resources();
        if (!need.fitsIn(worker.registration().capacity())) {
            return TOO_LARGE;
        }
        if (!state.domains().status(worker.registration().failureDomain()).inService()) {
            return FAILURE_DOMAIN_OUT;
        }
        if (worker.quarantined()) {
            return QUARANTINED;
        }
        if (task.failedWorkers().contains(worker.worker())) {
            return FAILED_WORKERS;
        }
        return need.fitsIn(worker.free()) ? WAITS_FOR_DECISION : NOT_ENOUGH_FREE;
    }
}
