package org.hornbeamward.schedule.worker;

import static org.hornbeamward.schedule.worker.SupervisorPeriods.COMMAND_RESEND_NANOS;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.state.DomainStatus;
import org.hornbeamward.state.JobStatus;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.TaskStatus;
import org.hornbeamward.transport.message.CheckpointTask;
import org.hornbeamward.transport.message.EndedTask;
import org.hornbeamward.transport.message.Hello;
import org.hornbeamward.transport.message.RunningTask;
import org.hornbeamward.transport.message.StartTask;
import org.hornbeamward.transport.message.StopTask;
import org.jspecify.annotations.Nullable;

/** Reconciles the tasks on one worker with the replicated state. */
final class TaskReconciler {
    private final SupervisorContext mContext;
    private final WorkerSession mSession;
    private final org.hornbeamward.state.WorkerStatus mWorker;
    private final Hello mHello;
    private final long mNowNanos;

    TaskReconciler(
            SupervisorContext context,
            WorkerSession session,
            org.hornbeamward.state.WorkerStatus worker,
            Hello hello,
            long nowNanos) {
        mContext = context;
        mSession = session;
        mWorker = worker;
        mHello = hello;
        mNowNanos = nowNanos;
    }

    void run() {
        mSession.mNeedsTicket = false;
        Set<Long> held = new HashSet<>(mWorker.tasks().values());
        mWorker.tasks().forEach(this::reconcile);
        for (RunningTask running : mSession.mRunning.values()) {
            // A token beyond this state may belong to a placement that other members have read.
            if (!held.contains(running.token()) && mContext.covers(running.token())) {
                sendStop(running.task(), running.token(), 0);
            }
        }
        mSession.mMessageStates
                .keySet()
                .removeIf(
                        token ->
                                !held.contains(token)
                                        && !mSession.mRunning.containsKey(token)
                                        && !mSession.mEnded.containsKey(token));
    }

    /** Returns the ended placements whose end, or loss, is recorded in the state. */
    static List<Long> acknowledgeable(
            SupervisorContext context,
            WorkerSession session,
            org.hornbeamward.state.WorkerStatus worker) {
        Set<Long> held = new HashSet<>(worker.tasks().values());
        List<Long> tokens = new ArrayList<>();
        for (long token : session.mEnded.keySet()) {
            if (!held.contains(token) && context.covers(token)) {
                tokens.add(token);
            }
        }
        return tokens;
    }

    private void reconcile(TaskId task, long token) {
        EndedTask ended = mSession.mEnded.get(token);
        if (ended != null) {
            end(task, token, ended.outcome(), ended.checkpoint());
            return;
        }
        TaskStatus status = mContext.mState.work().task(task).orElse(null);
        JobStatus job = mContext.mState.work().jobs().get(task.job());
        if (status == null || job == null) {
            return;
        }
        switch (status.state()) {
            case TaskState.Placed placed -> {
                RunningTask running = mSession.mRunning.get(token);
                if (running == null) {
                    start(task, token, status, job.spec());
                } else {
                    recordCheckpoint(running, status, false);
                }
            }
            case TaskState.Stopping stopping -> stop(task, stopping, status, job.spec());
            case TaskState.Pending pending -> {}
            case TaskState.Ended over -> {}
        }
    }

    private void end(TaskId task, long token, TaskOutcome outcome, long checkpoint) {
        TaskMessageState messageState = mSession.messageState(token);
        if (mContext.logFresh(mNowNanos)
                && TaskMessageState.due(
                        messageState.mEndEmittedNanos, COMMAND_RESEND_NANOS, mNowNanos)) {
            messageState.mEndEmittedNanos = mNowNanos;
            mContext.append(new EndTask(task, token, outcome, checkpoint));
        }
    }

    private void start(TaskId task, long token, TaskStatus status, JobSpec spec) {
        TaskMessageState messageState = mSession.messageState(token);
        if (messageState.mRefusedAfterStatus >= 0) {
            resolveRefusal(task, token, messageState);
            return;
        }
        if (!domainInService() || !TaskMessageState.due(messageState.mStartSentNanos, mNowNanos)) {
            return;
        }
        if (messageState.mStartCount >= SupervisorPeriods.MAX_START_ATTEMPTS) {
            // The stop makes the worker refuse the token permanently and report it as ended.
            sendStop(task, token, 0);
            return;
        }
        OptionalLong ticket = ticketForStart();
        if (ticket.isEmpty()) {
            mSession.mNeedsTicket = true;
            return;
        }
        messageState.mStartSentNanos = mNowNanos;
        messageState.mStartCount++;
        mContext.send(
                mSession.mWorker,
                new StartTask(
                        mContext.epoch(),
                        mWorker.registration().incarnation(),
                        task,
                        token,
                        ticket.getAsLong(),
                        spec.resources(),
                        status.checkpoint(),
                        spec.className(),
                        spec.kind(),
                        spec.expectedRunMillis(),
                        spec.agreedPeriodMillis()));
    }

    private OptionalLong ticketForStart() {
        Long readStarted = mContext.mLogReadStartedNanos;
        return readStarted == null
                ? OptionalLong.empty()
                : mSession.mTickets.forStart(readStarted, mNowNanos);
    }

    private boolean domainInService() {
        FailureDomainId failureDomain = mWorker.registration().failureDomain();
        return mContext.mState.domains().status(failureDomain).inService();
    }

    /**
     * Handles a start that the worker refused because it knows this token or a newer one. The
     * report of an earlier start may have been lost, so only a status sent after the refusal shows
     * whether the task is running, has ended, or can never start.
     */
    private void resolveRefusal(TaskId task, long token, TaskMessageState messageState) {
        if (mSession.mStatusCount > messageState.mRefusedAfterStatus) {
            end(task, token, TaskOutcome.LOST, 0);
            return;
        }
        if (TaskMessageState.due(mSession.mHelloSentNanos, mNowNanos)) {
            mSession.mHelloSentNanos = mNowNanos;
            mContext.send(mSession.mWorker, mHello);
        }
    }

    private void stop(TaskId task, TaskState.Stopping stopping, TaskStatus status, JobSpec spec) {
        RunningTask running = mSession.mRunning.get(stopping.token());
        if (running == null) {
            // A start may be in transit; the stop makes the worker refuse it.
            sendStop(task, stopping.token(), 0);
            return;
        }
        boolean checkpointFirst =
                spec.checkpointable() && stopping.reason() != StopReason.CANCELLED;
        if (checkpointFirst && !checkpointDone(running, stopping.reason())) {
            return;
        }
        if (checkpointFirst) {
            recordCheckpoint(running, status, true);
        }
        sendStop(task, stopping.token(), stopNoticeMillis(spec, stopping.reason()));
    }

    /** Requests a checkpoint; returns true if it was written or its deadline has passed. */
    private boolean checkpointDone(RunningTask running, StopReason reason) {
        TaskMessageState messageState = mSession.messageState(running.token());
        if (messageState.mCheckpointDeadlineNanos == null) {
            messageState.mCheckpointBeforeStop = running.checkpoint();
            messageState.mCheckpointDeadlineNanos = mNowNanos + checkpointWaitNanos(reason);
        }
        boolean expired = mNowNanos - messageState.mCheckpointDeadlineNanos >= 0;
        if (expired
                || running.checkpoint() > messageState.mCheckpointBeforeStop
                || running.stopping()) {
            return true;
        }
        if (TaskMessageState.due(messageState.mCheckpointSentNanos, mNowNanos)) {
            messageState.mCheckpointSentNanos = mNowNanos;
            mContext.send(mSession.mWorker, new CheckpointTask(mContext.epoch(), running.token()));
        }
        return false;
    }

    private long checkpointWaitNanos(StopReason reason) {
        long waitNanos = SupervisorPeriods.MAX_CHECKPOINT_WAIT_NANOS;
        if (reason != StopReason.DOMAIN_OUT) {
            return waitNanos;
        }
        return Math.min(waitNanos, TimeUnit.MILLISECONDS.toNanos(domainNoticeMillis()));
    }

    private long domainNoticeMillis() {
        DomainStatus status =
                mContext.mState.domains().status(mWorker.registration().failureDomain());
        return status.inService() ? 0 : status.noticeMillis();
    }

    private long stopNoticeMillis(JobSpec spec, StopReason reason) {
        if (spec.kind() == JobKind.BATCH) {
            return 0;
        }
        return reason == StopReason.DOMAIN_OUT
                ? domainNoticeMillis()
                : SupervisorPeriods.DEFAULT_STOP_NOTICE_MILLIS;
    }

    private void sendStop(TaskId task, long token, long noticeMillis) {
        TaskMessageState messageState = mSession.messageState(token);
        if (TaskMessageState.due(messageState.mStopSentNanos, mNowNanos)) {
            messageState.mStopSentNanos = mNowNanos;
            mContext.send(
                    mSession.mWorker, new StopTask(mContext.epoch(), task, token, noticeMillis));
        }
    }

    private void recordCheckpoint(RunningTask running, TaskStatus status, boolean beforeStop) {
        if (running.checkpoint() <= status.checkpoint() || !mContext.logFresh(mNowNanos)) {
            return;
        }
        TaskMessageState messageState = mSession.messageState(running.token());
        @Nullable Long last = messageState.mCheckpointRecordedNanos;
        long periodNanos =
                beforeStop ? COMMAND_RESEND_NANOS : SupervisorPeriods.CHECKPOINT_RECORD_NANOS;
        if (TaskMessageState.due(last, periodNanos, mNowNanos)) {
            messageState.mCheckpointRecordedNanos = mNowNanos;
            mContext.append(
                    new RecordCheckpoint(running.task(), running.token(), running.checkpoint()));
        }
    }
}
