package org.hornbeamward.schedule.worker;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.FencingToken;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.Member;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.transport.message.CheckpointTask;
import org.hornbeamward.transport.message.EndedTask;
import org.hornbeamward.transport.message.Heartbeat;
import org.hornbeamward.transport.message.HeartbeatAck;
import org.hornbeamward.transport.message.Hello;
import org.hornbeamward.transport.message.Refusal;
import org.hornbeamward.transport.message.RefusalReason;
import org.hornbeamward.transport.message.RunningTask;
import org.hornbeamward.transport.message.TaskReport;
import org.hornbeamward.transport.message.ThrottleTask;
import org.hornbeamward.transport.message.WorkerMessage;
import org.hornbeamward.transport.message.WorkerSamples;
import org.hornbeamward.transport.message.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Supervises the workers that the replicated state assigns to this instance: grants leases, starts
 * and stops tasks as placed in the state, records their ends and checkpoints, and declares workers
 * lost. Deterministic, without I/O or threads of its own; confined to the thread of the control
 * duty. All times are readings of this process's monotonic clock.
 *
 * <p>The caller applies the log, keeps a link to each worker in {@link #wantedLinks()}, passes on
 * the events of these links, and executes the output of {@link #tick}.
 */
public final class WorkerSupervisor {
    private final InstanceId mOwn;
    private final SupervisorContext mContext = new SupervisorContext();
    private final WorkerLossDetector mLossDetector;
    private final UsageSampleStore mUsage = new UsageSampleStore();
    private final SortedMap<WorkerId, WorkerSession> mSessions = new TreeMap<>();
    private final Map<InstanceId, Long> mKnownMembers = new HashMap<>();
    private SortedMap<WorkerId, String> mAddresses = Collections.emptySortedMap();
    private boolean mRolesDirty = true;
    private long mKnownEpoch = -1;
    private @Nullable Long mLastSweepNanos;

    /**
     * Creates a supervisor without workers.
     *
     * @param own this instance
     */
    public WorkerSupervisor(InstanceId own) {
        mOwn = own;
        mLossDetector = new WorkerLossDetector(own, mContext);
    }

    /**
     * Processes the state after a record was applied or a snapshot was loaded. Must be called after
     * every record, because the time at which the removal of a member is read matters.
     *
     * @param state the state; retained and read again in later calls
     * @param results the results of the record; empty after a snapshot
     * @param nowNanos current time
     */
    public void onState(ClusterState state, List<CommandResult> results, long nowNanos) {
        mContext.mState = state;
        if (results.isEmpty()) {
            mRolesDirty = true;
            mSessions.values().forEach(session -> session.mDirty = true);
        }
        results.stream()
                .filter(CommandResult::accepted)
                .forEach(result -> markDirty(result.command()));
        if (state.members().epoch() != mKnownEpoch) {
            onMembershipChange(nowNanos);
        }
        if (mRolesDirty) {
            updateRoles(nowNanos);
        }
    }

    /**
     * Reports that a log read reached the end of the log and that all records read were applied.
     *
     * @param readStartedNanos time at which the read was sent
     */
    public void onLogEnd(long readStartedNanos) {
        Long known = mContext.mLogReadStartedNanos;
        if (known == null || readStartedNanos - known > 0) {
            mContext.mLogReadStartedNanos = readStartedNanos;
        }
    }

    /**
     * Updates the addresses of workers from the platform's list.
     *
     * @param addresses worker to host:port; takes precedence over the address in a registration
     * @param nowNanos current time
     */
    public void onAddresses(SortedMap<WorkerId, String> addresses, long nowNanos) {
        if (!mAddresses.equals(addresses)) {
            mAddresses = new TreeMap<>(addresses);
            updateRoles(nowNanos);
        }
    }

    /**
     * Reports how far another member has read the log. A worker can be declared lost only after
     * every other member is known to have read that this instance supervises it.
     *
     * @param peer member that reported its offset
     * @param logOffset next offset that it will read, from its ping or pong
     * @param nowNanos time at which the message was received
     */
    public void onPeerOffset(InstanceId peer, long logOffset, long nowNanos) {
        for (WorkerSession session : mSessions.values()) {
            if (FencingToken.of(logOffset, 0) > session.mSupervisorSinceEpoch) {
                session.mCaughtUpNanos.putIfAbsent(peer, nowNanos);
            }
        }
    }

    /**
     * Reports that the link to a worker was established.
     *
     * @param worker the worker
     * @param nowNanos current time
     */
    public void onLinkOpen(WorkerId worker, long nowNanos) {
        WorkerSession session = mSessions.get(worker);
        if (session != null) {
            session.onLinkLost();
            session.mLinkUp = true;
            session.mLastMessageNanos = nowNanos;
        }
    }

    /**
     * Reports that the link to a worker has ended.
     *
     * @param worker the worker
     */
    public void onLinkLost(WorkerId worker) {
        WorkerSession session = mSessions.get(worker);
        if (session != null) {
            session.onLinkLost();
        }
    }

    /**
     * Processes a message from a worker. Messages of one link must be passed on in order, and none
     * after {@link #onLinkLost} for that link.
     *
     * @param worker the worker that the link belongs to
     * @param message message as decoded
     * @param nowNanos time at which it was received
     */
    public void onMessage(WorkerId worker, WorkerMessage message, long nowNanos) {
        WorkerSession session = mSessions.get(worker);
        if (session == null || !session.mLinkUp) {
            return;
        }
        session.mLastMessageNanos = nowNanos;
        session.mDirty = true;
        switch (message) {
            case WorkerStatus status -> {
                if (status.worker().equals(worker)) {
                    session.onStatus(status, nowNanos);
                }
            }
            case HeartbeatAck ack -> onHeartbeatAck(session, ack, nowNanos);
            case TaskReport report -> onReport(session, report);
            case Refusal refusal -> onRefusal(session, refusal);
            default -> {}
        }
    }

    /**
     * Performs the actions that are due. Must be called about every 50 ms and after other calls.
     *
     * @param nowNanos current time
     * @param active whether this instance may act as a member; if false, nothing is done
     * @return the messages to send and the commands to append
     */
    public SupervisorOutput tick(long nowNanos, boolean active) {
        boolean member = mContext.mState.members().all().containsKey(mOwn);
        if (!active || !member) {
            mContext.takeOutput();
        } else {
            boolean sweep =
                    TaskMessageState.due(
                            mLastSweepNanos, SupervisorPeriods.SWEEP_PERIOD_NANOS, nowNanos);
            if (sweep) {
                mLastSweepNanos = nowNanos;
            }
            for (WorkerSession session : mSessions.values()) {
                if (sweep || session.mDirty || session.mNeedsTicket) {
                    session.mDirty = false;
                    superviseWorker(session, nowNanos);
                }
            }
        }
        return mContext.takeOutput();
    }

    /**
     * Returns the workers to keep a link to.
     *
     * @return worker to host:port
     */
    public SortedMap<WorkerId, String> wantedLinks() {
        SortedMap<WorkerId, String> links = new TreeMap<>();
        mSessions.forEach((worker, session) -> links.put(worker, session.mAddress));
        return links;
    }

    /**
     * Returns the usage samples of the supervised workers, for the policy and the decider.
     *
     * @return the live samples, to be used by the control duty only
     */
    public UsageSampleStore usage() {
        return mUsage;
    }

    /**
     * Limits the CPU of a running task. Has no effect unless this instance supervises the worker.
     * The message is returned by the next call to {@link #tick}.
     *
     * @param worker the worker
     * @param token token of the task's placement
     * @param throttlePercent percentage of the declared CPU, 1 to 100
     */
    public void throttle(WorkerId worker, long token, int throttlePercent) {
        sendForRunningTask(
                worker, token, new ThrottleTask(mContext.epoch(), token, throttlePercent));
    }

    /**
     * Requests a checkpoint of a running task. Has no effect unless this instance supervises the
     * worker.
     *
     * @param worker the worker
     * @param token token of the task's placement
     */
    public void requestCheckpoint(WorkerId worker, long token) {
        sendForRunningTask(worker, token, new CheckpointTask(mContext.epoch(), token));
    }

    private void sendForRunningTask(WorkerId worker, long token, WorkerMessage message) {
        WorkerSession session = mSessions.get(worker);
        if (session != null && session.mRunning.containsKey(token)) {
            mContext.send(worker, message);
        }
    }

    private void markDirty(Command command) {
        switch (command) {
            case PlaceTask place -> markDirty(place.worker());
            case StopTask stop -> markDirtyWorkerOf(stop.task());
            case CancelJob cancel -> mSessions.values().forEach(session -> session.mDirty = true);
            case RegisterWorker register -> mRolesDirty = true;
            case RemoveLostWorker lose -> onWorkerLost(lose.worker());
            default -> {}
        }
    }

    private void onWorkerLost(WorkerId worker) {
        mRolesDirty = true;
        WorkerSession session = mSessions.get(worker);
        if (session != null) {
            session.clearLoss();
            session.mRegistrationEmittedNanos = null;
        }
    }

    private void markDirtyWorkerOf(TaskId task) {
        mContext.mState
                .work()
                .task(task)
                .ifPresent(
                        status -> {
                            if (status.state() instanceof TaskState.Stopping stopping) {
                                markDirty(stopping.worker());
                            }
                        });
    }

    private void markDirty(WorkerId worker) {
        WorkerSession session = mSessions.get(worker);
        if (session != null) {
            session.mDirty = true;
        }
    }

    private void onMembershipChange(long nowNanos) {
        mKnownEpoch = mContext.epoch();
        mRolesDirty = true;
        Map<InstanceId, Member> members = new HashMap<>(mContext.mState.members().all());
        mKnownMembers.forEach(
                (instance, joinToken) -> {
                    Member member = members.get(instance);
                    if (member == null || member.joinToken() != joinToken) {
                        mSessions.values().forEach(s -> s.onMemberRemoved(instance, nowNanos));
                    }
                });
        mKnownMembers.clear();
        members.forEach((id, member) -> mKnownMembers.put(id, member.joinToken()));
    }

    private void updateRoles(long nowNanos) {
        mRolesDirty = false;
        SortedMap<WorkerId, String> wanted =
                SupervisedWorkers.of(mOwn, mContext.mState, mAddresses);
        mSessions.keySet().removeIf(id -> !wanted.containsKey(id));
        mUsage.retainWorkers(wanted.keySet());
        wanted.forEach(
                (id, address) -> {
                    WorkerSession session =
                            mSessions.computeIfAbsent(
                                    id,
                                    key -> new WorkerSession(key, address, mKnownEpoch, nowNanos));
                    session.mAddress = address;
                    session.mDirty = true;
                });
    }

    private void onHeartbeatAck(WorkerSession session, HeartbeatAck ack, long nowNanos) {
        WorkerStatus status = session.mStatus;
        if (status == null || status.incarnation() != ack.incarnation()) {
            return;
        }
        session.mTickets.add(ack.ticketMillis(), nowNanos);
        session.mEnded.clear();
        ack.endedTasks().forEach(session::onEnded);
        mUsage.add(
                new WorkerSamples(
                        session.mWorker,
                        ack.incarnation(),
                        ack.measuredMillis(),
                        ack.changedUsage()));
        mUsage.retain(session.mWorker, session.mRunning.keySet());
    }

    private void onReport(WorkerSession session, TaskReport report) {
        TaskId task = findTask(session, report.token());
        if (task == null) {
            session.mNeedsStatus = true;
            return;
        }
        if (report.outcome() != null) {
            session.onEnded(
                    new EndedTask(task, report.token(), report.outcome(), report.checkpoint()));
            return;
        }
        if (session.mEnded.containsKey(report.token())) {
            return;
        }
        RunningTask known = session.mRunning.get(report.token());
        session.mRunning.put(
                report.token(),
                new RunningTask(
                        task,
                        report.token(),
                        known != null && known.stopping(),
                        Math.max(known == null ? 0 : known.checkpoint(), report.checkpoint())));
    }

    private @Nullable TaskId findTask(WorkerSession session, long token) {
        RunningTask running = session.mRunning.get(token);
        if (running != null) {
            return running.task();
        }
        var worker = mContext.mState.work().workers().get(session.mWorker);
        if (worker == null) {
            return null;
        }
        return worker.tasks().entrySet().stream()
                .filter(entry -> entry.getValue() == token)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    private void onRefusal(WorkerSession session, Refusal refusal) {
        LogEvent.WORKER_REFUSED.log(session.mWorker, refusal.token(), refusal.reason());
        if (refusal.reason() == RefusalReason.OLD_EPOCH) {
            session.mRefusedEpoch = Math.max(session.mRefusedEpoch, refusal.epoch());
        } else if (refusal.reason() == RefusalReason.OLD_TOKEN) {
            session.messageState(refusal.token()).mRefusedAfterStatus = session.mStatusCount;
        } else if (refusal.reason() == RefusalReason.OTHER_INCARNATION) {
            session.mStatus = null;
        }
    }

    private void superviseWorker(WorkerSession session, long nowNanos) {
        if (session.mRefusedEpoch > mContext.epoch()) {
            // A newer supervisor exists; the log will reveal it.
            return;
        }
        sendHelloIfDue(session, nowNanos);
        var worker = mContext.mState.work().workers().get(session.mWorker);
        WorkerStatus status = session.mStatus;
        boolean incarnationMatches =
                worker != null
                        && status != null
                        && worker.registration().incarnation() == status.incarnation();
        if (status != null && !incarnationMatches) {
            appendRegistrationIfDue(session, status, nowNanos);
            return;
        }
        if (worker == null) {
            return;
        }
        mLossDetector.detectLoss(session, worker.registration().incarnation(), nowNanos);
        if (status == null || session.mLosingIncarnation != null) {
            return;
        }
        if (session.reachable(nowNanos)) {
            // A start without a lease would be refused.
            sendHeartbeatIfDue(session, worker, status, nowNanos);
            new TaskReconciler(mContext, session, worker, hello(), nowNanos).run();
        }
    }

    private Hello hello() {
        return new Hello(mContext.epoch(), mOwn);
    }

    private void sendHelloIfDue(WorkerSession session, long nowNanos) {
        boolean wanted = session.mNeedsStatus || !session.reachable(nowNanos);
        if (session.mLinkUp
                && wanted
                && TaskMessageState.due(
                        session.mHelloSentNanos, SupervisorPeriods.HELLO_PERIOD_NANOS, nowNanos)) {
            session.mHelloSentNanos = nowNanos;
            mContext.send(session.mWorker, hello());
        }
    }

    private void appendRegistrationIfDue(
            WorkerSession session, WorkerStatus status, long nowNanos) {
        if (mContext.logFresh(nowNanos)
                && TaskMessageState.due(
                        session.mRegistrationEmittedNanos,
                        SupervisorPeriods.COMMAND_RESEND_NANOS,
                        nowNanos)) {
            session.mRegistrationEmittedNanos = nowNanos;
            mContext.append(
                    new RegisterWorker(
                            status.worker(),
                            status.incarnation(),
                            status.failureDomain(),
                            status.region(),
                            status.rack(),
                            status.capacity(),
                            session.mAddress,
                            mContext.epoch()));
        }
    }

    private void sendHeartbeatIfDue(
            WorkerSession session,
            org.hornbeamward.state.WorkerStatus worker,
            WorkerStatus status,
            long nowNanos) {
        long periodNanos =
                session.mNeedsTicket
                        ? SupervisorPeriods.TICKET_REQUEST_PERIOD_NANOS
                        : SupervisorPeriods.HEARTBEAT_PERIOD_NANOS;
        OptionalLong ticket = session.mTickets.newest();
        if (ticket.isEmpty()
                || !TaskMessageState.due(session.mHeartbeatSentNanos, periodNanos, nowNanos)) {
            return;
        }
        session.mHeartbeatSentNanos = nowNanos;
        mContext.send(
                session.mWorker,
                new Heartbeat(
                        mContext.epoch(),
                        status.incarnation(),
                        ticket.getAsLong(),
                        TaskReconciler.acknowledgeable(mContext, session, worker)));
    }
}
