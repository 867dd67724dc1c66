package org.hornbeamward.state;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.config.TeamConfig;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * The jobs, tasks and workers of the replicated state, with the resources that tasks hold on
 * workers and in team quotas. Confined to the thread that applies the log.
 */
public final class WorkTable {
    /** Maximum number of tasks in one job. */
    public static final int MAX_TASKS_PER_JOB = 10_000;

    /**
     * A worker is quarantined after tasks of this many jobs failed on it without a finished task in
     * between.
     */
    public static final int QUARANTINE_JOB_COUNT = 3;

    /** A task that failed on this many workers is itself considered faulty. */
    public static final int TASK_FAILURE_WORKER_COUNT = 3;

    private static final int MAX_ENDED_JOBS = 2_000;

    /**
     * Maximum number of tasks of ended jobs that are kept, at 112 bytes each. Without this limit
     * 2,000 ended jobs could hold 20 million tasks.
     */
    static final int MAX_ENDED_TASKS = 100_000;

    /** Names of ended jobs are kept longer than their tasks to reject reuse of a name. */
    private static final int MAX_ENDED_JOB_IDS = 20_000;

    final SortedMap<WorkerId, WorkerStatus> mWorkers = new TreeMap<>();
    final SortedMap<JobId, JobStatus> mJobs = new TreeMap<>();
    final Deque<JobId> mEndedJobs = new ArrayDeque<>();

    /** Number of tasks of the jobs in {@link #mEndedJobs}. */
    int mEndedTaskCount;

    final Set<JobId> mEndedJobIds = new LinkedHashSet<>();
    final SortedSet<TaskId> mPending = new TreeSet<>();
    final SortedMap<TeamId, Resources> mUsedByTeam = new TreeMap<>();

    WorkTable() {}

    /**
     * Returns the registered workers.
     *
     * @return unmodifiable view by id
     */
    public SortedMap<WorkerId, WorkerStatus> workers() {
        return Collections.unmodifiableSortedMap(mWorkers);
    }

    /**
     * Returns the retained jobs, including recently ended ones.
     *
     * @return unmodifiable view by id
     */
    public SortedMap<JobId, JobStatus> jobs() {
        return Collections.unmodifiableSortedMap(mJobs);
    }

    /**
     * Returns the tasks that are waiting for placement.
     *
     * @return unmodifiable view by id
     */
    public SortedSet<TaskId> pending() {
        return Collections.unmodifiableSortedSet(mPending);
    }

    /**
     * Returns the resources that a team's placed tasks hold.
     *
     * @param team the team
     * @return the sum of their declared resources
     */
    public Resources usedBy(TeamId team) {
        return mUsedByTeam.getOrDefault(team, Resources.NONE);
    }

    /**
     * Finds a task.
     *
     * @param task its id
     * @return the task, or empty if its job is unknown or the task index is out of range
     */
    public Optional<TaskStatus> task(TaskId task) {
        JobStatus job = mJobs.get(task.job());
        if (job == null || task.index() >= job.mTasks.size()) {
            return Optional.empty();
        }
        return Optional.of(job.mTasks.get(task.index()));
    }

    @Nullable HornbeamwardError submit(JobSpec spec, long token, Configuration configuration) {
        if (mJobs.containsKey(spec.id()) || mEndedJobIds.contains(spec.id())) {
            return rejected(spec.id(), "this name was used before; choose a new one");
        }
        TeamConfig team = configuration.teams().get(spec.team());
        if (team == null) {
            return rejected(
                    spec.id(),
                    "team " + spec.team() + " is not configured; add team/" + spec.team());
        }
        if (spec.taskCount() < 1 || spec.taskCount() > MAX_TASKS_PER_JOB) {
            return rejected(spec.id(), "taskCount must be 1 to " + MAX_TASKS_PER_JOB);
        }
        Resources need = spec.resources();
        if (need.cpuMillicores() < 1 || need.memoryMib() < 1 || need.acceleratorCount() < 0) {
            return rejected(spec.id(), "a task needs at least 1 millicore and 1 MiB");
        }
        if (!need.fitsIn(team.quota())) {
            return rejected(spec.id(), "one task exceeds the quota of team " + spec.team());
        }
        boolean fits =
                mWorkers.isEmpty()
                        || mWorkers.values().stream()
                                .anyMatch(worker -> need.fitsIn(worker.mRegistration.capacity()));
        if (!fits) {
            return rejected(spec.id(), "no worker is large enough for one task; declare less");
        }
        JobStatus job = new JobStatus(spec, token);
        mJobs.put(spec.id(), job);
        job.mTasks.forEach(task -> mPending.add(task.mTask));
        return null;
    }

    @Nullable HornbeamwardError cancel(JobId id) {
        JobStatus job = mJobs.get(id);
        if (job == null) {
            return rejected(id, "no such job; list the jobs for their names");
        }
        if (job.ended()) {
            return rejected(id, "the job has ended already");
        }
        job.mCancelled = true;
        for (TaskStatus task : job.mTasks) {
            switch (task.mState) {
                case TaskState.Pending pending -> end(job, task, TaskResult.CANCELLED);
                case TaskState.Placed placed ->
                        task.mState =
                                new TaskState.Stopping(
                                        placed.worker(),
                                        placed.workerIncarnation(),
                                        placed.token(),
                                        StopReason.CANCELLED);
                case TaskState.Stopping stopping -> {}
                case TaskState.Ended ended -> {}
            }
        }
        return null;
    }

    @Nullable HornbeamwardError rejectJob(JobId id, String reason) {
        JobStatus job = mJobs.get(id);
        if (job == null || job.ended()) {
            return rejected(id, "only a job that has not ended can be rejected");
        }
        boolean anyPlaced =
                job.mTasks.stream().anyMatch(task -> !(task.mState instanceof TaskState.Pending));
        if (anyPlaced) {
            return rejected(id, "tasks of the job were placed, so it can run");
        }
        job.mRejectReason = reason;
        return cancel(id);
    }

    @Nullable HornbeamwardError place(
            PlaceTask place, long token, Configuration configuration, DomainTable domains) {
        TaskStatus task = task(place.task()).orElse(null);
        if (task == null || !(task.mState instanceof TaskState.Pending)) {
            return rejected(place.task(), "the task is not pending");
        }
        WorkerStatus worker = mWorkers.get(place.worker());
        if (worker == null || worker.mRegistration.incarnation() != place.workerIncarnation()) {
            return rejected(place.task(), "that incarnation of the worker is not registered");
        }
        if (worker.mQuarantined) {
            return rejected(place.task(), "worker " + place.worker() + " is quarantined");
        }
        if (!domains.status(worker.mRegistration.failureDomain()).inService()) {
            return rejected(
                    place.task(),
                    "failure domain " + worker.mRegistration.failureDomain() + " is taken out");
        }
        if (task.mFailedWorkers.contains(place.worker())) {
            return rejected(place.task(), "the task has failed on worker " + place.worker());
        }
        JobSpec spec = specOf(place.task());
        if (!spec.resources().fitsIn(worker.free())) {
            return rejected(
                    place.task(), "worker " + place.worker() + " has too few free resources");
        }
        TeamConfig team = configuration.teams().get(spec.team());
        Resources used = usedBy(spec.team()).plus(spec.resources());
        if (team == null || !used.fitsIn(team.quota())) {
            return rejected(place.task(), "the quota of team " + spec.team() + " is used up");
        }
        worker.mTasks.put(task.mTask, token);
        worker.mCommitted = worker.mCommitted.plus(spec.resources());
        mUsedByTeam.put(spec.team(), used);
        mPending.remove(task.mTask);
        task.mPlacementCount++;
        task.mState = new TaskState.Placed(place.worker(), place.workerIncarnation(), token);
        return null;
    }

    @Nullable HornbeamwardError stop(StopTask stop) {
        TaskStatus task = task(stop.task()).orElse(null);
        if (task == null
                || !(task.mState instanceof TaskState.Placed placed)
                || placed.token() != stop.token()) {
            return rejected(stop.task(), "the task is not placed under this token");
        }
        task.mState =
                new TaskState.Stopping(
                        placed.worker(), placed.workerIncarnation(), placed.token(), stop.reason());
        return null;
    }

    @Nullable HornbeamwardError recordCheckpoint(RecordCheckpoint record) {
        TaskStatus task = task(record.task()).orElse(null);
        if (task == null || tokenOf(task) != record.token()) {
            return rejected(record.task(), "the task is not placed under this token");
        }
        task.mCheckpoint = Math.max(task.mCheckpoint, record.checkpoint());
        return null;
    }

    /** Ends a placement. The outcome decides whether the task becomes pending again or ends. */
    @Nullable HornbeamwardError endTask(EndTask endTask) {
        TaskStatus task = task(endTask.task()).orElse(null);
        if (task == null || tokenOf(task) != endTask.token()) {
            return rejected(endTask.task(), "the task is not placed under this token");
        }
        JobStatus job = jobOf(task.mTask);
        WorkerStatus worker = workerOf(task);
        task.mCheckpoint = Math.max(task.mCheckpoint, endTask.checkpoint());
        release(task, worker);
        switch (endTask.outcome()) {
            case FINISHED -> {
                worker.mFailedJobs.clear();
                if (job.mSpec.kind() == JobKind.SERVICE) {
                    requeue(job, task);
                } else {
                    end(job, task, TaskResult.FINISHED);
                }
            }
            case STOPPED, LOST -> requeue(job, task);
            case START_FAILED, FAILED -> fail(job, task, worker);
        }
        return null;
    }

    @Nullable HornbeamwardError registerWorker(RegisterWorker registration) {
        WorkerStatus known = mWorkers.get(registration.worker());
        if (known != null) {
            if (known.mRegistration.incarnation() == registration.incarnation()) {
                return rejected(registration.worker(), "this incarnation is registered already");
            }
            requeueTasksOf(known);
        }
        mWorkers.put(registration.worker(), new WorkerStatus(registration));
        return null;
    }

    @Nullable HornbeamwardError removeLostWorker(WorkerId id, long incarnation) {
        WorkerStatus worker = mWorkers.get(id);
        if (worker == null || worker.mRegistration.incarnation() != incarnation) {
            return rejected(id, "that incarnation of the worker is not registered");
        }
        requeueTasksOf(worker);
        mWorkers.remove(id);
        return null;
    }

    @Nullable HornbeamwardError releaseWorker(WorkerId id) {
        WorkerStatus worker = mWorkers.get(id);
        if (worker == null || !worker.mQuarantined) {
            return rejected(id, "the worker is not quarantined");
        }
        worker.mQuarantined = false;
        worker.mFailedJobs.clear();
        return null;
    }

    JobSpec specOf(TaskId task) {
        return jobOf(task).mSpec;
    }

    private void requeueTasksOf(WorkerStatus worker) {
        for (TaskId id : List.copyOf(worker.mTasks.keySet())) {
            TaskStatus task = task(id).orElseThrow();
            release(task, worker);
            requeue(jobOf(id), task);
        }
    }

    private void release(TaskStatus task, WorkerStatus worker) {
        JobSpec spec = specOf(task.mTask);
        worker.mTasks.remove(task.mTask);
        worker.mCommitted = worker.mCommitted.minus(spec.resources());
        mUsedByTeam.put(spec.team(), usedBy(spec.team()).minus(spec.resources()));
    }

    private void requeue(JobStatus job, TaskStatus task) {
        if (job.mCancelled) {
            end(job, task, TaskResult.CANCELLED);
            return;
        }
        if (task.mState instanceof TaskState.Stopping) {
            task.mEvictionCount++;
        }
        task.mState = new TaskState.Pending();
        mPending.add(task.mTask);
    }

    private void fail(JobStatus job, TaskStatus task, WorkerStatus worker) {
        task.addFailedWorker(worker.worker());
        if (task.mFailedWorkers.size() < TASK_FAILURE_WORKER_COUNT) {
            worker.mFailedJobs.add(job.mSpec.id());
            quarantineIfFaulty(worker);
            requeue(job, task);
            return;
        }
        // A task that fails on several workers is itself faulty, so its failures do not count
        // against those workers.
        for (WorkerId id : task.mFailedWorkers) {
            WorkerStatus other = mWorkers.get(id);
            if (other != null) {
                other.mFailedJobs.remove(job.mSpec.id());
            }
        }
        if (job.mSpec.kind() == JobKind.SERVICE) {
            task.clearFailedWorkers();
            requeue(job, task);
        } else {
            end(job, task, job.mCancelled ? TaskResult.CANCELLED : TaskResult.FAILED);
        }
    }

    private void quarantineIfFaulty(WorkerStatus worker) {
        if (worker.mFailedJobs.size() < QUARANTINE_JOB_COUNT) {
            return;
        }
        long healthyCount =
                mWorkers.values().stream()
                        .filter(other -> other != worker)
                        .filter(other -> !other.mQuarantined && other.mFailedJobs.isEmpty())
                        .count();
        if (healthyCount >= QUARANTINE_JOB_COUNT) {
            worker.mQuarantined = true;
        }
    }

    private void end(JobStatus job, TaskStatus task, TaskResult result) {
        mPending.remove(task.mTask);
        task.mState = new TaskState.Ended(result);
        task.clearFailedWorkers();
        job.mOpenTaskCount--;
        if (job.mOpenTaskCount > 0) {
            return;
        }
        mEndedJobs.addLast(job.mSpec.id());
        mEndedJobIds.add(job.mSpec.id());
        mEndedTaskCount += job.mTasks.size();
        while (mEndedJobs.size() > MAX_ENDED_JOBS || mEndedTaskCount > MAX_ENDED_TASKS) {
            JobStatus oldest = mJobs.remove(mEndedJobs.removeFirst());
            mEndedTaskCount -= oldest == null ? 0 : oldest.mTasks.size();
        }
        if (mEndedJobIds.size() > MAX_ENDED_JOB_IDS) {
            mEndedJobIds.remove(mEndedJobIds.iterator().next());
        }
    }

    private JobStatus jobOf(TaskId task) {
        JobStatus job = mJobs.get(task.job());
        if (job == null) {
            throw new IllegalStateException("task " + task + " has no job");
        }
        return job;
    }

    private WorkerStatus workerOf(TaskStatus task) {
        WorkerId id =
                switch (task.mState) {
                    case TaskState.Placed placed -> placed.worker();
                    case TaskState.Stopping stopping -> stopping.worker();
                    case TaskState.Pending pending ->
                            throw new IllegalStateException(task.mTask + " is pending");
                    case TaskState.Ended ended ->
                            throw new IllegalStateException(task.mTask + " has ended");
                };
        WorkerStatus worker = mWorkers.get(id);
        if (worker == null) {
            throw new IllegalStateException("task " + task.mTask + " is on an unknown worker");
        }
        return worker;
    }

    /** Returns the fencing token of the current placement, or 0 if the task holds no resources. */
    private static long tokenOf(TaskStatus task) {
        return switch (task.mState) {
            case TaskState.Placed placed -> placed.token();
            case TaskState.Stopping stopping -> stopping.token();
            case TaskState.Pending pending -> 0;
            case TaskState.Ended ended -> 0;
        };
    }

    private static CommandRejected rejected(Object subject, String reason) {
        String kind =
                switch (subject) {
                    case JobId job -> "job ";
                    case TaskId task -> "task ";
                    case WorkerId worker -> "worker ";
                    default -> "";
                };
        return new CommandRejected(kind + subject, reason);
    }

    /** Recomputes each worker's committed resources from its tasks, to check the invariant. */
    Map<WorkerId, Resources> recomputeCommitted() {
        Map<WorkerId, Resources> committed = new TreeMap<>();
        for (WorkerStatus worker : mWorkers.values()) {
            Resources sum = Resources.NONE;
            for (TaskId task : worker.mTasks.keySet()) {
                sum = sum.plus(specOf(task).resources());
            }
            committed.put(worker.worker(), sum);
        }
        return committed;
    }
}
