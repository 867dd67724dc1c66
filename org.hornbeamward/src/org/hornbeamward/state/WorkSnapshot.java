package org.hornbeamward.state;

import org.hornbeamward.codec.JobSpecCodec;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/**
 * Encodes and decodes jobs, tasks and workers. Committed resources, pending tasks and the use of
 * team quotas are derived from the tasks, so they are not encoded but recomputed on decoding.
 */
final class WorkSnapshot {
    private static final int PENDING = 0;
    private static final int PLACED = 1;
    private static final int STOPPING = 2;
    private static final int ENDED = 3;

    private WorkSnapshot() {}

    static void write(Writer out, WorkTable work) {
        out.array(4);
        out.list(work.mWorkers.values(), worker -> writeWorker(out, worker));
        out.list(work.mJobs.values(), job -> writeJob(out, job));
        out.list(work.mEndedJobs, out::text);
        out.list(work.mEndedJobIds, out::text);
    }

    static void read(Reader in, WorkTable work) {
        in.array(4);
        for (int left = in.array(); left > 0; left--) {
            WorkerStatus worker = readWorker(in);
            work.mWorkers.put(worker.worker(), worker);
        }
        for (int left = in.array(); left > 0; left--) {
            readJob(in, work);
        }
        for (int left = in.array(); left > 0; left--) {
            JobId id = in.job();
            JobStatus job = work.mJobs.get(id);
            work.mEndedJobs.addLast(id);
            work.mEndedTaskCount += job == null ? 0 : job.mTasks.size();
        }
        for (int left = in.array(); left > 0; left--) {
            work.mEndedJobIds.add(in.job());
        }
    }

    private static void writeWorker(Writer out, WorkerStatus worker) {
        RegisterWorker registration = worker.mRegistration;
        out.array(12)
                .text(registration.worker())
                .integer(registration.incarnation())
                .text(registration.failureDomain())
                .text(registration.region())
                .text(registration.rack())
                .resources(registration.capacity())
                .text(registration.address())
                .integer(registration.membershipEpoch())
                .bool(worker.mQuarantined);
        out.list(worker.mFailedJobs, out::text);
    }

    private static WorkerStatus readWorker(Reader in) {
        in.array(12);
        WorkerStatus worker =
                new WorkerStatus(
                        new RegisterWorker(
                                in.worker(),
                                in.integer(),
                                in.failureDomain(),
                                in.region(),
                                in.text(),
                                in.resources(),
                                in.text(),
                                in.integer()));
        worker.mQuarantined = in.bool();
        for (int left = in.array(); left > 0; left--) {
            worker.mFailedJobs.add(in.job());
        }
        return worker;
    }

    private static void writeJob(Writer out, JobStatus job) {
        out.array(5);
        JobSpecCodec.write(out, job.mSpec);
        out.integer(job.mSubmitToken).bool(job.mCancelled);
        out.text(job.mRejectReason == null ? "" : job.mRejectReason);
        out.list(job.mTasks, task -> writeTask(out, task));
    }

    private static void writeTask(Writer out, TaskStatus task) {
        out.array(5);
        switch (task.mState) {
            case TaskState.Pending pending -> out.array(1).integer(PENDING);
            case TaskState.Placed placed ->
                    out.array(4)
                            .integer(PLACED)
                            .text(placed.worker())
                            .integer(placed.workerIncarnation())
                            .integer(placed.token());
            case TaskState.Stopping stopping ->
                    out.array(5)
                            .integer(STOPPING)
                            .text(stopping.worker())
                            .integer(stopping.workerIncarnation())
                            .integer(stopping.token())
                            .integer(stopping.reason().ordinal());
            case TaskState.Ended ended ->
                    out.array(2).integer(ENDED).integer(ended.result().ordinal());
        }
        out.integer(task.mCheckpoint).integer(task.mPlacementCount).integer(task.mEvictionCount);
        out.list(task.mFailedWorkers, out::text);
    }

    private static void readJob(Reader in, WorkTable work) {
        in.array(5);
        JobSpec spec = JobSpecCodec.read(in);
        if (spec.taskCount() < 1 || spec.taskCount() > WorkTable.MAX_TASKS_PER_JOB) {
            throw in.malformed("job has " + spec.taskCount() + " tasks");
        }
        JobStatus job = new JobStatus(spec, in.integer());
        job.mCancelled = in.bool();
        String reason = in.text();
        job.mRejectReason = reason.isEmpty() ? null : reason;
        in.array(spec.taskCount());
        job.mOpenTaskCount = 0;
        for (TaskStatus task : job.mTasks) {
            readTask(in, task);
            restoreDerivedState(work, job, task);
        }
        work.mJobs.put(spec.id(), job);
    }

    private static void readTask(Reader in, TaskStatus task) {
        in.array(5);
        in.array();
        int tag = in.int32();
        task.mState =
                switch (tag) {
                    case PENDING -> new TaskState.Pending();
                    case PLACED -> new TaskState.Placed(in.worker(), in.integer(), in.integer());
                    case STOPPING ->
                            new TaskState.Stopping(
                                    in.worker(),
                                    in.integer(),
                                    in.integer(),
                                    in.constant(StopReason.values()));
                    case ENDED -> new TaskState.Ended(in.constant(TaskResult.values()));
                    default -> throw in.malformed("task state " + tag + " is unknown");
                };
        task.mCheckpoint = in.integer();
        task.mPlacementCount = in.int32();
        task.mEvictionCount = in.int32();
        for (int left = in.array(); left > 0; left--) {
            task.addFailedWorker(in.worker());
        }
    }

    private static void restoreDerivedState(WorkTable work, JobStatus job, TaskStatus task) {
        switch (task.mState) {
            case TaskState.Pending pending -> {
                job.mOpenTaskCount++;
                work.mPending.add(task.mTask);
            }
            case TaskState.Placed placed -> {
                job.mOpenTaskCount++;
                commitResources(work, job.mSpec, task.mTask, placed.worker(), placed.token());
            }
            case TaskState.Stopping stopping -> {
                job.mOpenTaskCount++;
                commitResources(work, job.mSpec, task.mTask, stopping.worker(), stopping.token());
            }
            case TaskState.Ended ended -> {}
        }
    }

    private static void commitResources(
            WorkTable work, JobSpec spec, TaskId task, WorkerId workerId, long token) {
        WorkerStatus worker = work.mWorkers.get(workerId);
        if (worker == null) {
            throw new Reader.MalformedInputException("task " + task + " is on an unknown worker");
        }
        worker.mTasks.put(task, token);
        worker.mCommitted = worker.mCommitted.plus(spec.resources());
        Resources used = work.usedBy(spec.team()).plus(spec.resources());
        work.mUsedByTeam.put(spec.team(), used);
    }
}
