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
 * Worker side of the supervision protocol with simulated tasks, without I/O and threads. All times
 * are readings of the worker's own monotonic clock. An agent is one incarnation of a worker; a
 * restart creates a new agent.
 */
public final class WorkerAgent {
    /** Duration of a lease, counted from the ticket that renewed it. */
    public static final long LEASE_MILLIS = 15_000;

    /** Age from which on a start ticket is refused. */
    public static final long MAX_TICKET_AGE_MILLIS = 2_000;

    private static final long CHECKPOINT_INTERVAL_MILLIS = 5_000;

    /** Time in which a service that is stopped with notice finishes its requests. */
    private static final long MAX_DRAIN_MILLIS = 200;

    /**
     * How long the newest token of a task is kept after its placement ended and was acknowledged.
     * Any start message that arrives after that carries a ticket that is too old.
     */
    private static final long FENCE_RETENTION_MILLIS = 60_000;

    private final WorkerIdentity mIdentity;
    private final long mIncarnation;
    private final long mSeed;
    private final EventRecord mEvents;
    private final SimulatedInterference mInterference;
    private final UsageMeter mUsageMeter;
    private final SortedMap<Long, SimulatedTask> mTasks = new TreeMap<>();
    private final SortedMap<Long, EndedTask> mEndedTasks = new TreeMap<>();
    private final Map<TaskId, Fence> mFences = new HashMap<>();
    private long mEpoch;
    private long mLeaseEndMillis = Long.MIN_VALUE;
    private long mLastTickMillis;
    private boolean mFailStarts;
    private boolean mAccepted;

    private record Fence(long token, long setMillis) {}

    /**
     * Creates an agent without tasks and lease.
     *
     * @param identity identity that the worker reports
     * @param incarnation incarnation of the worker
     * @param seed seed of run times, slowdowns and noise
     * @param events receives the worker's events
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
        mInterference = new SimulatedInterference(seed);
        mUsageMeter = new UsageMeter(seed + identity.worker().hashCode());
        mLastTickMillis = nowMillis;
    }

    /**
     * Returns the incarnation that the agent represents.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return mIncarnation;
    }

    /**
     * Returns whether the epoch of the last message was accepted, which makes its sender the
     * supervisor.
     *
     * @return false if the message was refused for its epoch
     */
    public boolean accepted() {
        return mAccepted;
    }

    /**
     * Sets whether starts of tasks fail from now on.
     *
     * @param failStarts whether they fail
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
     * @return replies in order
     */
    public List<WorkerMessage> onMessage(WorkerMessage message, long nowMillis) {
        List<WorkerMessage> replies = tick(nowMillis);
        long epoch = epochOf(message);
        mAccepted = epoch >= mEpoch;
        if (!mAccepted) {
            replies.add(refuse(tokenOf(message), RefusalReason.OLD_EPOCH, nowMillis));
            return replies;
        }
        mEpoch = epoch;
        switch (message) {
            case Hello hello -> {
                mUsageMeter.clearReported();
                replies.add(status(nowMillis));
            }
            case Heartbeat heartbeat -> onHeartbeat(heartbeat, replies, nowMillis);
            case StartTask start -> onStart(start, replies, nowMillis);
            case StopTask stop -> onStop(stop, replies, nowMillis);
            case CheckpointTask checkpoint -> {
                SimulatedTask task = mTasks.get(checkpoint.token());
                if (task != null) {
                    checkpoint(task, replies, nowMillis);
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
        return replies;
    }

    /**
     * Performs the work that is due: lapses the lease, runs the tasks and writes checkpoints.
     *
     * @param nowMillis current time
     * @return reports in the order to send them, in a modifiable list
     */
    public List<WorkerMessage> tick(long nowMillis) {
        List<WorkerMessage> reports = new ArrayList<>();
        if (nowMillis >= mLeaseEndMillis && !mTasks.isEmpty()) {
            lapseLease(reports);
        }
        long elapsedMillis = nowMillis - mLastTickMillis;
        mLastTickMillis = nowMillis;
        for (SimulatedTask task : List.copyOf(mTasks.values())) {
            task.mSlowdown =
                    mInterference.slowdown(
                            task, mTasks.values(), mIdentity.capacity().cpuMillicores());
            task.run(elapsedMillis);
            advance(task, reports, nowMillis);
        }
        mUsageMeter.measure(mTasks.values(), nowMillis);
        removeExpiredFences(nowMillis);
        return reports;
    }

    private void lapseLease(List<WorkerMessage> reports) {
        long leaseEndMillis = mLeaseEndMillis;
        mEvents.add(event(WorkerEvent.Kind.LEASE_LAPSED, "", 0, 0, "", leaseEndMillis));
        for (SimulatedTask task : List.copyOf(mTasks.values())) {
            endTask(task, TaskOutcome.STOPPED, "lease lapsed", reports, leaseEndMillis);
        }
    }

    private void advance(SimulatedTask task, List<WorkerMessage> reports, long nowMillis) {
        if (task.mStopAtMillis != null && nowMillis >= task.mStopAtMillis) {
            endTask(task, TaskOutcome.STOPPED, "stopped", reports, nowMillis);
        } else if (task.isFinished()) {
            endTask(task, TaskOutcome.FINISHED, "finished", reports, nowMillis);
        } else if (task.start().kind() == JobKind.BATCH
                && nowMillis - task.mLastCheckpointMillis >= CHECKPOINT_INTERVAL_MILLIS) {
            checkpoint(task, reports, nowMillis);
        }
    }

    private void onHeartbeat(Heartbeat heartbeat, List<WorkerMessage> replies, long nowMillis) {
        if (heartbeat.incarnation() != mIncarnation || heartbeat.ticketMillis() > nowMillis) {
            replies.add(refuse(0, RefusalReason.OTHER_INCARNATION, nowMillis));
            return;
        }
        mLeaseEndMillis = Math.max(mLeaseEndMillis, heartbeat.ticketMillis() + LEASE_MILLIS);
        heartbeat.acknowledgedTokens().forEach(token -> acknowledge(token, nowMillis));
        List<UsageSample> usage = mUsageMeter.takeChangedSamples(nowMillis);
        replies.add(
                new HeartbeatAck(
                        mIncarnation,
                        nowMillis,
                        mUsageMeter.reportedMeasureMillis(),
                        usage,
                        List.copyOf(mEndedTasks.values())));
    }

    private void acknowledge(long token, long nowMillis) {
        EndedTask ended = mEndedTasks.remove(token);
        if (ended != null) {
            raiseFence(ended.task(), token, nowMillis);
        }
    }

    private void onStart(StartTask start, List<WorkerMessage> replies, long nowMillis) {
        RefusalReason reason = refusalReason(start, nowMillis);
        if (reason != null) {
            replies.add(refuse(start.token(), reason, nowMillis));
            return;
        }
        raiseFence(start.task(), start.token(), nowMillis);
        Resources free = mIdentity.capacity().minus(committed());
        if (mFailStarts || !start.resources().fitsIn(free)) {
            TaskOutcome outcome = mFailStarts ? TaskOutcome.START_FAILED : TaskOutcome.LOST;
            String detail = mFailStarts ? "start failed" : "too little free";
            recordEnd(
                    start.task(),
                    start.token(),
                    outcome,
                    start.checkpoint(),
                    detail,
                    replies,
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
        replies.add(new TaskReport(start.token(), TaskEvent.STARTED, null, start.checkpoint()));
    }

    private @Nullable RefusalReason refusalReason(StartTask start, long nowMillis) {
        if (start.incarnation() != mIncarnation || start.ticketMillis() > nowMillis) {
            return RefusalReason.OTHER_INCARNATION;
        }
        Fence fence = mFences.get(start.task());
        if (fence != null && start.token() <= fence.token) {
            return RefusalReason.OLD_TOKEN;
        }
        if (nowMillis - start.ticketMillis() >= MAX_TICKET_AGE_MILLIS) {
            return RefusalReason.OLD_TICKET;
        }
        return nowMillis >= mLeaseEndMillis ? RefusalReason.NO_LEASE : null;
    }

    private void onStop(StopTask stop, List<WorkerMessage> replies, long nowMillis) {
        EndedTask ended = mEndedTasks.get(stop.token());
        SimulatedTask task = mTasks.get(stop.token());
        if (ended != null) {
            replies.add(endReport(ended));
        } else if (task == null) {
            raiseFence(stop.task(), stop.token(), nowMillis);
            recordEnd(
                    stop.task(), stop.token(), TaskOutcome.LOST, 0, "unknown", replies, nowMillis);
        } else if (task.mStopAtMillis == null) {
            boolean drains = task.start().kind() == JobKind.SERVICE;
            long drainMillis = drains ? Math.min(stop.noticeMillis(), MAX_DRAIN_MILLIS) : 0;
            task.mStopAtMillis = nowMillis + drainMillis;
            advance(task, replies, nowMillis);
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

    private void endTask(
            SimulatedTask task,
            TaskOutcome outcome,
            String detail,
            List<WorkerMessage> reports,
            long nowMillis) {
        mTasks.remove(task.token());
        recordEnd(task.task(), task.token(), outcome, task.mCheckpoint, detail, reports, nowMillis);
    }

    private void recordEnd(
            TaskId task,
            long token,
            TaskOutcome outcome,
            long checkpoint,
            String detail,
            List<WorkerMessage> reports,
            long nowMillis) {
        EndedTask ended = new EndedTask(task, token, outcome, checkpoint);
        mEndedTasks.put(token, ended);
        mEvents.add(
                event(
                        WorkerEvent.Kind.ENDED,
                        task.toString(),
                        token,
                        checkpoint,
                        outcome + ": " + detail,
                        nowMillis));
        reports.add(endReport(ended));
    }

    private static TaskReport endReport(EndedTask ended) {
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
                List.copyOf(mEndedTasks.values()));
    }

    private void raiseFence(TaskId task, long token, long nowMillis) {
        Fence known = mFences.get(task);
        if (known == null || token >= known.token) {
            mFences.put(task, new Fence(token, nowMillis));
        }
    }

    private void removeExpiredFences(long nowMillis) {
        Iterator<Fence> fences = mFences.values().iterator();
        while (fences.hasNext()) {
            Fence fence = fences.next();
            boolean inUse = mTasks.containsKey(fence.token) || mEndedTasks.containsKey(fence.token);
            if (!inUse && nowMillis - fence.setMillis > FENCE_RETENTION_MILLIS) {
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
