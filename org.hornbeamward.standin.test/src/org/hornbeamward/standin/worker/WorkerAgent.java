package org.hornbeamward.standin.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.transport.message.CheckpointTask;
import org.hornbeamward.transport.message.EndedTask;
import org.hornbeamward.transport.message.Heartbeat;
import org.hornbeamward.transport.message.HeartbeatAck;
import org.hornbeamward.transport.message.Hello;
import org.hornbeamward.transport.message.Refusal;
import org.hornbeamward.transport.message.RefusalReason;
import org.hornbeamward.transport.message.RunningTask;
import org.hornbeamward.transport.message.StartTask;
import org.hornbeamward.transport.message.StopTask;
import org.hornbeamward.transport.message.TaskEvent;
import org.hornbeamward.transport.message.TaskReport;
import org.hornbeamward.transport.message.ThrottleTask;
import org.hornbeamward.transport.message.UsageSample;
import org.hornbeamward.transport.message.WorkerMessage;
import org.hornbeamward.transport.message.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * The rules of a worker and its simulated tasks, without I/O and threads. All times are readings of
 * the worker's own monotonic clock. One incarnation only; a restart makes a new agent.
 */
public final class WorkerAgent {
    /** The lease, counted from the ticket that renewed it. */
    public static final long LEASE_MILLIS = 15_000;

    /** Age at which a start ticket is refused. */
    public static final long TICKET_MILLIS = 2_000;

    private static final long CHECKPOINT_MILLIS = 5_000;

    /** A service needs this long to finish its requests when it is stopped with notice. */
    private static final long DRAIN_MILLIS = 200;

    /**
     * Tokens are remembered this long after a placement has ended and was acknowledged. Every start
     * that may still arrive then has a ticket that is too old.
     */
    private static final long TOKEN_MEMORY_MILLIS = 60_000;

    private final WorkerIdentity mIdentity;
    private final long mIncarnation;
    private final long mSeed;
    private final EventRecord mEvents;
    private final SlowdownTable mSlowdowns;
    private final UsageMeter mMeter;
    private final SortedMap<Long, SimulatedTask> mTasks = new TreeMap<>();
    private final SortedMap<Long, EndedTask> mEnded = new TreeMap<>();
    private final Map<TaskId, Fence> mFences = new HashMap<>();
    private long mEpoch;
    private long mLeaseEndMillis = Long.MIN_VALUE;
    private long mRunMillis;
    private boolean mFailStarts;
    private boolean mAccepted;

    private record Fence(long token, long setMillis) {}

    /**
     * Creates an agent without tasks and lease.
     *
     * @param identity what it declares
     * @param incarnation its incarnation
     * @param seed decides run times, slowdowns and noise
     * @param events receives its events
     * @param nowMillis current time
     */
    public WorkerAgent(
            WorkerIdentity identity,
            long incarnation,
            long seed,
            EventRecord events,
            long nowMillis) {
        mIdentity = identity;
        mIncarnation = incarnation;
        mSeed = seed;
        mEvents = events;
        mSlowdowns = new SlowdownTable(seed);
        mMeter = new UsageMeter(seed + identity.worker().hashCode());
        mRunMillis = nowMillis;
    }

    /**
     * Returns the incarnation.
     *
     * @return as given
     */
    public long incarnation() {
        return mIncarnation;
    }

    /**
     * Tells whether the last message was not refused for its epoch, so that its sender is the
     * supervisor.
     *
     * @return true if it was accepted
     */
    public boolean accepted() {
        return mAccepted;
    }

    /**
     * Makes every later start fail, or not.
     *
     * @param failStarts true to fail
     */
    public void setFailStarts(boolean failStarts) {
        mFailStarts = failStarts;
    }

    /**
     * Returns the resources of the tasks that have not ended.
     *
     * @return their sum
     */
    public Resources committed() {
        return mTasks.values().stream()
                .map(task -> task.start().resources())
                .reduce(Resources.NONE, Resources::plus);
    }

    /**
     * Returns the tokens of the tasks that have not ended.
     *
     * @return a copy
     */
    public List<Long> runningTokens() {
        return List.copyOf(mTasks.keySet());
    }

    /**
     * Handles a message of a supervisor.
     *
     * @param message the message
     * @param nowMillis current time
     * @return answers in order
     */
    public List<WorkerMessage> onMessage(WorkerMessage message, long nowMillis) {
        List<WorkerMessage> answers = tick(nowMillis);
        long epoch = epochOf(message);
        mAccepted = epoch >= mEpoch;
        if (!mAccepted) {
            answers.add(refuse(tokenOf(message), RefusalReason.OLD_EPOCH, nowMillis));
            return answers;
        }
        mEpoch = epoch;
        switch (message) {
            case Hello hello -> {
                mMeter.forgetReported();
                answers.add(status(nowMillis));
            }
            case Heartbeat heartbeat -> onHeartbeat(heartbeat, answers, nowMillis);
            case StartTask start -> onStart(start, answers, nowMillis);
            case StopTask stop -> onStop(stop, answers, nowMillis);
            case CheckpointTask checkpoint -> {
                SimulatedTask task = mTasks.get(checkpoint.token());
                if (task != null) {
                    checkpoint(task, answers, nowMillis);
                }
            }
            case ThrottleTask throttle -> {
                SimulatedTask task = mTasks.get(throttle.token());
                if (task != null) {
                    task.throttle(throttle.throttlePercent());
                }
            }
            default -> {}
        }
        return answers;
    }

    /**
     * Does what is due: ends the lease, runs the tasks and writes checkpoints.
     *
     * @param nowMillis current time
     * @return reports in order, in a list that may be changed
     */
    public List<WorkerMessage> tick(long nowMillis) {
        List<WorkerMessage> reports = new ArrayList<>();
        if (nowMillis >= mLeaseEndMillis && !mTasks.isEmpty()) {
            lapse(reports);
        }
        long elapsedMillis = nowMillis - mRunMillis;
        mRunMillis = nowMillis;
        for (SimulatedTask task : List.copyOf(mTasks.values())) {
            task.mSlowdown =
                    mSlowdowns.slowdown(
                            task, mTasks.values(), mIdentity.capacity().cpuMillicores());
            task.run(elapsedMillis);
            advance(task, reports, nowMillis);
        }
        mMeter.measure(mTasks.values(), nowMillis);
        forgetOldFences(nowMillis);
        return reports;
    }

    private void lapse(List<WorkerMessage> reports) {
        long endMillis = mLeaseEndMillis;
        mEvents.add(event(WorkerEvent.Kind.LEASE_LAPSED, "", 0, 0, "", endMillis));
        for (SimulatedTask task : List.copyOf(mTasks.values())) {
            end(task, TaskOutcome.STOPPED, "lease lapsed", reports, endMillis);
        }
    }

    private void advance(SimulatedTask task, List<WorkerMessage> reports, long nowMillis) {
        if (task.mStopAtMillis != null && nowMillis >= task.mStopAtMillis) {
            end(task, TaskOutcome.STOPPED, "stopped", reports, nowMillis);
        } else if (task.finished()) {
            end(task, TaskOutcome.FINISHED, "finished", reports, nowMillis);
        } else if (task.start().kind() == JobKind.BATCH
                && nowMillis - task.mCheckpointedMillis >= CHECKPOINT_MILLIS) {
            checkpoint(task, reports, nowMillis);
        }
    }

    private void onHeartbeat(Heartbeat heartbeat, List<WorkerMessage> answers, long nowMillis) {
        if (heartbeat.incarnation() != mIncarnation || heartbeat.ticketMillis() > nowMillis) {
            answers.add(refuse(0, RefusalReason.OTHER_INCARNATION, nowMillis));
            return;
        }
        mLeaseEndMillis = Math.max(mLeaseEndMillis, heartbeat.ticketMillis() + LEASE_MILLIS);
        heartbeat.acknowledgedTokens().forEach(token -> acknowledge(token, nowMillis));
        List<UsageSample> usage = mMeter.takeChanged(nowMillis);
        answers.add(
                new HeartbeatAck(
                        mIncarnation,
                        nowMillis,
                        mMeter.takenMillis(),
                        usage,
                        List.copyOf(mEnded.values())));
    }

    private void acknowledge(long token, long nowMillis) {
        EndedTask ended = mEnded.remove(token);
        if (ended != null) {
            fence(ended.task(), token, nowMillis);
        }
    }

    private void onStart(StartTask start, List<WorkerMessage> answers, long nowMillis) {
        RefusalReason reason = refusalOf(start, nowMillis);
        if (reason != null) {
            answers.add(refuse(start.token(), reason, nowMillis));
            return;
        }
        fence(start.task(), start.token(), nowMillis);
        Resources free = mIdentity.capacity().minus(committed());
        if (mFailStarts || !start.resources().fitsIn(free)) {
            TaskOutcome outcome = mFailStarts ? TaskOutcome.START_FAILED : TaskOutcome.LOST;
            String detail = mFailStarts ? "start failed" : "too little free";
            ended(
                    start.task(),
                    start.token(),
                    outcome,
                    start.checkpoint(),
                    detail,
                    answers,
                    nowMillis);
            return;
        }
        SimulatedTask task = new SimulatedTask(start, mSeed, nowMillis);
        mTasks.put(start.token(), task);
        WorkerEvent.Kind kind =
                start.checkpoint() > 0 ? WorkerEvent.Kind.RESUMED : WorkerEvent.Kind.STARTED;
        mEvents.add(
                event(
                        kind,
                        start.task().toString(),
                        start.token(),
                        start.checkpoint(),
                        start.className(),
                        nowMillis));
        answers.add(new TaskReport(start.token(), TaskEvent.STARTED, null, start.checkpoint()));
    }

    private @Nullable RefusalReason refusalOf(StartTask start, long nowMillis) {
        if (start.incarnation() != mIncarnation || start.ticketMillis() > nowMillis) {
            return RefusalReason.OTHER_INCARNATION;
        }
        Fence fence = mFences.get(start.task());
        if (fence != null && start.token() <= fence.token) {
            return RefusalReason.OLD_TOKEN;
        }
        if (nowMillis - start.ticketMillis() >= TICKET_MILLIS) {
            return RefusalReason.OLD_TICKET;
        }
        return nowMillis >= mLeaseEndMillis ? RefusalReason.NO_LEASE : null;
    }

    private void onStop(StopTask stop, List<WorkerMessage> answers, long nowMillis) {
        EndedTask ended = mEnded.get(stop.token());
        SimulatedTask task = mTasks.get(stop.token());
        if (ended != null) {
            answers.add(report(ended));
        } else if (task == null) {
            fence(stop.task(), stop.token(), nowMillis);
            ended(stop.task(), stop.token(), TaskOutcome.LOST, 0, "unknown", answers, nowMillis);
        } else if (task.mStopAtMillis == null) {
            boolean drains = task.start().kind() == JobKind.SERVICE;
            long waitMillis = drains ? Math.min(stop.noticeMillis(), DRAIN_MILLIS) : 0;
            task.mStopAtMillis = nowMillis + waitMillis;
            advance(task, answers, nowMillis);
        }
    }

    private void checkpoint(SimulatedTask task, List<WorkerMessage> reports, long nowMillis) {
        task.checkpoint(nowMillis);
        mEvents.add(
                event(
                        WorkerEvent.Kind.CHECKPOINTED,
                        task.task().toString(),
                        task.token(),
                        task.mCheckpoint,
                        "",
                        nowMillis));
        reports.add(new TaskReport(task.token(), TaskEvent.CHECKPOINTED, null, task.mCheckpoint));
    }

    private void end(
            SimulatedTask task,
            TaskOutcome outcome,
            String detail,
            List<WorkerMessage> reports,
            long nowMillis) {
        mTasks.remove(task.token());
        ended(task.task(), task.token(), outcome, task.mCheckpoint, detail, reports, nowMillis);
    }

    private void ended(
            TaskId task,
            long token,
            TaskOutcome outcome,
            long checkpoint,
            String detail,
            List<WorkerMessage> reports,
            long nowMillis) {
        EndedTask ended = new EndedTask(task, token, outcome, checkpoint);
        mEnded.put(token, ended);
        mEvents.add(
                event(
                        WorkerEvent.Kind.ENDED,
                        task.toString(),
                        token,
                        checkpoint,
                        outcome + ": " + detail,
                        nowMillis));
        reports.add(report(ended));
    }

    private static TaskReport report(EndedTask ended) {
        return new TaskReport(ended.token(), TaskEvent.ENDED, ended.outcome(), ended.checkpoint());
    }

    private Refusal refuse(long token, RefusalReason reason, long nowMillis) {
        mEvents.add(event(WorkerEvent.Kind.REFUSED, "", token, 0, reason.toString(), nowMillis));
        return new Refusal(token, reason, mEpoch);
    }

    private WorkerStatus status(long nowMillis) {
        List<RunningTask> running = new ArrayList<>();
        for (SimulatedTask task : mTasks.values()) {
            running.add(
                    new RunningTask(
                            task.task(),
                            task.token(),
                            task.mStopAtMillis != null,
                            task.mCheckpoint));
        }
        return new WorkerStatus(
                mIdentity.worker(),
                mIncarnation,
                mIdentity.failureDomain(),
                mIdentity.region(),
                mIdentity.rack(),
                mIdentity.capacity(),
                nowMillis,
                running,
                List.copyOf(mEnded.values()));
    }

    private void fence(TaskId task, long token, long nowMillis) {
        Fence known = mFences.get(task);
        if (known == null || token >= known.token) {
            mFences.put(task, new Fence(token, nowMillis));
        }
    }

    private void forgetOldFences(long nowMillis) {
        Iterator<Fence> fences = mFences.values().iterator();
        while (fences.hasNext()) {
            Fence fence = fences.next();
            boolean inUse = mTasks.containsKey(fence.token) || mEnded.containsKey(fence.token);
            if (!inUse && nowMillis - fence.setMillis > TOKEN_MEMORY_MILLIS) {
                fences.remove();
            }
        }
    }

    private WorkerEvent event(
            WorkerEvent.Kind kind,
            String task,
            long token,
            long checkpoint,
            String detail,
            long monotonicMillis) {
        return new WorkerEvent(
                mIdentity.worker().value(),
                mIncarnation,
                kind,
                task,
                token,
                checkpoint,
                detail,
                committed(),
                monotonicMillis,
                System.currentTimeMillis());
    }

    private static long epochOf(WorkerMessage message) {
        return switch (message) {
            case Hello hello -> hello.epoch();
            case Heartbeat heartbeat -> heartbeat.epoch();
            case StartTask start -> start.epoch();
            case StopTask stop -> stop.epoch();
            case CheckpointTask checkpoint -> checkpoint.epoch();
            case ThrottleTask throttle -> throttle.epoch();
            default -> 0;
        };
    }

    private static long tokenOf(WorkerMessage message) {
        return switch (message) {
            case StartTask start -> start.token();
            case StopTask stop -> stop.token();
            case CheckpointTask checkpoint -> checkpoint.token();
            case ThrottleTask throttle -> throttle.token();
            default -> 0;
        };
    }
}
