package org.hornbeamward.schedule.worker;

import static org.hornbeamward.schedule.worker.SupervisorPeriods.COMMAND_REPEAT_NANOS;

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

/** Brings the tasks on one worker in line with the replicated state. */
final class TaskReconciler {
    private final SupervisorView mView;
    private final WorkerSession mSession;
    private final org.hornbeamward.state.WorkerStatus mWorker;
    private final Hello mHello;
    private final long mNowNanos;

    TaskReconciler(
            SupervisorView view,
            WorkerSession session,
            org.hornbeamward.state.WorkerStatus worker,
            Hello hello,
            long nowNanos) {
        mView = view;
        mSession = session;
        mWorker = worker;
        mHello = hello;
        mNowNanos = nowNanos;
    }

    void run() {
        mSession.mWantsTicket = false;
        Set<Long> held = new HashSet<>(mWorker.tasks().values());
        mWorker.tasks().forEach(this::reconcile);
        for (RunningTask running : mSession.mRunning.values()) {
            // A token that the state does not cover yet may be a placement that others have read.
            if (!held.contains(running.token()) && mView.covers(running.token())) {
                sendStop(running.task(), running.token(), 0);
            }
        }
        mSession.mContacts
                .keySet()
                .removeIf(
                        token ->
                                !held.contains(token)
                                        && !mSession.mRunning.containsKey(token)
                                        && !mSession.mEnded.containsKey(token));
    }

    /** Returns the ended placements whose end, or loss, is in the state. */
    static List<Long> acknowledgeable(
            SupervisorView view,
            WorkerSession session,
            org.hornbeamward.state.WorkerStatus worker) {
        Set<Long> held = new HashSet<>(worker.tasks().values());
        List<Long> tokens = new ArrayList<>();
        for (long token : session.mEnded.keySet()) {
            if (!held.contains(token) && view.covers(token)) {
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
        TaskStatus status = mView.mState.work().task(task).orElse(null);
        JobStatus job = mView.mState.work().jobs().get(task.job());
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
        TaskContact contact = mSession.contact(token);
        if (mView.logFresh(mNowNanos)
                && TaskContact.due(contact.mEndEmittedNanos, COMMAND_REPEAT_NANOS, mNowNanos)) {
            contact.mEndEmittedNanos = mNowNanos;
            mView.append(new EndTask(task, token, outcome, checkpoint));
        }
    }

    private void start(TaskId task, long token, TaskStatus status, JobSpec spec) {
        TaskContact contact = mSession.contact(token);
        if (contact.mRefusedAfterStatus >= 0) {
            resolveRefusal(task, token, contact);
            return;
        }
        if (!inService() || !TaskContact.due(contact.mStartSentNanos, mNowNanos)) {
            return;
        }
        if (contact.mStartCount >= SupervisorPeriods.MAX_STARTS) {
            // The stop makes the worker refuse the token for good and report it as ended.
            sendStop(task, token, 0);
            return;
        }
        OptionalLong ticket = ticketForStart();
        if (ticket.isEmpty()) {
            mSession.mWantsTicket = true;
            return;
        }
        contact.mStartSentNanos = mNowNanos;
        contact.mStartCount++;
        mView.send(
                mSession.mWorker,
                new StartTask(
                        mView.epoch(),
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
        Long readStarted = mView.mLogReadStartedNanos;
        return readStarted == null
                ? OptionalLong.empty()
                : mSession.mTickets.forStart(readStarted, mNowNanos);
    }

    private boolean inService() {
        FailureDomainId failureDomain = mWorker.registration().failureDomain();
        return mView.mState.domains().status(failureDomain).inService();
    }

    /**
     * Handles a start that was refused because the worker knows the token or a newer one. The
     * report of the start may have been lost, so only a status sent after the refusal shows whether
     * the task runs, has ended, or can never start.
     */
    private void resolveRefusal(TaskId task, long token, TaskContact contact) {
        if (mSession.mStatusCount > contact.mRefusedAfterStatus) {
            end(task, token, TaskOutcome.LOST, 0);
            return;
        }
        if (TaskContact.due(mSession.mHelloNanos, mNowNanos)) {
            mSession.mHelloNanos = mNowNanos;
            mView.send(mSession.mWorker, mHello);
        }
    }

    private void stop(TaskId task, TaskState.Stopping stopping, TaskStatus status, JobSpec spec) {
        RunningTask running = mSession.mRunning.get(stopping.token());
        if (running == null) {
            // A start may be on its way; the stop makes the worker refuse it.
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

    /** Asks for a checkpoint; true if it was written or the time for it is over. */
    private boolean checkpointDone(RunningTask running, StopReason reason) {
        TaskContact contact = mSession.contact(running.token());
        if (contact.mCheckpointDeadlineNanos == null) {
            contact.mCheckpointBeforeStop = running.checkpoint();
            contact.mCheckpointDeadlineNanos = mNowNanos + checkpointWaitNanos(reason);
        }
        boolean over = mNowNanos - contact.mCheckpointDeadlineNanos >= 0;
        if (over || running.checkpoint() > contact.mCheckpointBeforeStop || running.stopping()) {
            return true;
        }
        if (TaskContact.due(contact.mCheckpointSentNanos, mNowNanos)) {
            contact.mCheckpointSentNanos = mNowNanos;
            mView.send(mSession.mWorker, new CheckpointTask(mView.epoch(), running.token()));
        }
        return false;
    }

    private long checkpointWaitNanos(StopReason reason) {
        long waitNanos = SupervisorPeriods.CHECKPOINT_WAIT_NANOS;
        if (reason != StopReason.DOMAIN_OUT) {
            return waitNanos;
        }
        return Math.min(waitNanos, TimeUnit.MILLISECONDS.toNanos(domainNoticeMillis()));
    }

    private long domainNoticeMillis() {
        DomainStatus status = mView.mState.domains().status(mWorker.registration().failureDomain());
        return status.inService() ? 0 : status.noticeMillis();
    }

    private long stopNoticeMillis(JobSpec spec, StopReason reason) {
        if (spec.kind() == JobKind.BATCH) {
            return 0;
        }
        return reason == StopReason.DOMAIN_OUT
                ? domainNoticeMillis()
                : SupervisorPeriods.DEFAULT_NOTICE_MILLIS;
    }

    private void sendStop(TaskId task, long token, long noticeMillis) {
        TaskContact contact = mSession.contact(token);
        if (TaskContact.due(contact.mStopSentNanos, mNowNanos)) {
            contact.mStopSentNanos = mNowNanos;
            mView.send(mSession.mWorker, new StopTask(mView.epoch(), task, token, noticeMillis));
        }
    }

    private void recordCheckpoint(RunningTask running, TaskStatus status, boolean soon) {
        if (running.checkpoint() <= status.checkpoint() || !mView.logFresh(mNowNanos)) {
            return;
        }
        TaskContact contact = mSession.contact(running.token());
        @Nullable Long last = contact.mCheckpointRecordedNanos;
        long periodNanos = soon ? COMMAND_REPEAT_NANOS : SupervisorPeriods.CHECKPOINT_RECORD_NANOS;
        if (TaskContact.due(last, periodNanos, mNowNanos)) {
            contact.mCheckpointRecordedNanos = mNowNanos;
            mView.append(
                    new RecordCheckpoint(running.task(), running.token(), running.checkpoint()));
        }
    }
}
