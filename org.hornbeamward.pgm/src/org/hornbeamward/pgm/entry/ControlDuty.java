package org.hornbeamward.pgm.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.IdentifiedCommand;
import org.hornbeamward.command.LeaveMember;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.command.ReportFigures;
import org.hornbeamward.command.SuspectMember;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.member.MembershipMonitor;
import org.hornbeamward.pgm.admin.ConfigHistory;
import org.hornbeamward.route.front.RoutingView;
import org.hornbeamward.route.slot.DemandEstimate;
import org.hornbeamward.route.slot.SlotPlanner;
import org.hornbeamward.schedule.worker.SupervisorOutput;
import org.hornbeamward.schedule.worker.WorkerSupervisor;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.storage.list.InstanceEntry;
import org.hornbeamward.storage.list.InstanceKind;
import org.hornbeamward.storage.list.InstanceList;
import org.hornbeamward.storage.list.InstanceState;
import org.hornbeamward.storage.log.FollowEvent;
import org.hornbeamward.transport.link.Link;
import org.hornbeamward.transport.message.AnswerQuery;
import org.hornbeamward.transport.message.AnswerReply;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.PeerMessage;
import org.hornbeamward.transport.message.PeerPing;
import org.hornbeamward.transport.message.PeerPong;
import org.hornbeamward.transport.message.TaskAdvice;
import org.hornbeamward.transport.message.UsageReport;

/**
 * Owns the replicated state: applies the control stream and runs membership, decisions, supervision
 * and slot planning. Methods must be called on this duty's thread unless documented otherwise.
 */
final class ControlDuty implements Duty {
    private static final long MAX_WAIT_NANOS = 40_000_000L;

    private final ControlDutyContext mContext;
    private final MonotonicClock mClock;
    private final ControlRing mRing;
    private final InstanceId mOwn;
    private final WorkerSupervisor mSupervisor;
    private final PeerMesh mMesh;
    private final WorkerLinks mWorkerLinks;
    private final SlotPlanner mSlotPlanner;
    private final DemandEstimate mDemand = new DemandEstimate();
    private final PendingCommands mPending = new PendingCommands();
    private final UsageCollector mUsageCollector = new UsageCollector();
    private final UsageForwarder mUsageForwarder = new UsageForwarder();
    private final ConfigHistory mHistory = new ConfigHistory();
    private final DeciderRunner mDeciderRunner;
    private final SnapshotDuty mSnapshots;
    private final ControlTimers mTimers = new ControlTimers();
    private final ActivityWindow mWindow;
    private boolean mWasActive;

    private ClusterState mState = new ClusterState();
    private final List<Command> mWorkerCommands = new ArrayList<>();
    private Incarnation mIncarnation;
    private Set<EndpointId> mLeavingEndpoints = new HashSet<>();
    private Set<EndpointId> mLiveEndpoints = Set.of();
    private long mKnownEpoch = -1;
    private long mRenewedConfigVersion = -1;
    private long mFigureSequence;
    private boolean mRoutingDirty = true;
    private boolean mStopping;

    ControlDuty(ControlDutyContext context, DeciderRunner deciderRunner, SnapshotDuty snapshots) {
        mContext = context;
        mClock = context.clock();
        mRing = context.ring();
        mWindow = new ActivityWindow(mClock);
        mOwn = context.joinTemplate().instance();
        mSupervisor = new WorkerSupervisor(mOwn);
        mMesh = new PeerMesh(mOwn, context.loops(), mRing, context.counters());
        mWorkerLinks = new WorkerLinks(context.loops(), mRing, context.counters());
        mSlotPlanner = new SlotPlanner(mOwn);
        mDeciderRunner = deciderRunner;
        mSnapshots = snapshots;
        mIncarnation = context.appenders().begin(context.joinTemplate());
        mSupervisor.onAddresses(context.workerAddresses(), mClock.nowNanos());
    }

    @Override
    public String name() {
        return "control";
    }

    @Override
    public void runOnce() {
        mRing.drain(this::handle);
        tick(mClock.nowNanos());
        mRing.await(MAX_WAIT_NANOS);
    }

    ClusterState state() {
        return mState;
    }

    ConfigHistory history() {
        return mHistory;
    }

    PendingCommands pending() {
        return mPending;
    }

    /** Returns whether this member is currently allowed to act. Thread-safe. */
    boolean active() {
        return mWindow.isOpen();
    }

    boolean offer(Command command) {
        return mIncarnation.offer(command);
    }

    /** Delivers advice to the supervisor of a worker, which may be this instance. */
    void advise(InstanceId supervisor, TaskAdvice advice) {
        if (supervisor.equals(mOwn)) {
            applyAdvice(advice);
        } else {
            mMesh.send(supervisor, advice);
        }
    }

    boolean sendToPeer(InstanceId instance, Message message) {
        return mMesh.send(instance, message);
    }

    private void handle(ControlEvent event) {
        long nowNanos = mClock.nowNanos();
        switch (event) {
            case ControlEvent.LogFollowed followed -> onFollowed(followed.event(), nowNanos);
            case ControlEvent.StateLoaded loaded -> onLoaded(loaded.state(), nowNanos);
            case ControlEvent.WorkerLinkOpened opened ->
                    mSupervisor.onLinkOpen(opened.worker(), nowNanos);
            case ControlEvent.WorkerLinkClosed closed -> mSupervisor.onLinkLost(closed.worker());
            case ControlEvent.WorkerSent sent ->
                    mSupervisor.onMessage(sent.worker(), sent.message(), nowNanos);
            case ControlEvent.PeerSent sent -> onPeer(sent.link(), sent.message(), nowNanos);
            case ControlEvent.ListChanged changed -> onList(changed.list(), nowNanos);
            case ControlEvent.RunAction run -> run.action().accept(this);
        }
    }

    private void onFollowed(FollowEvent event, long nowNanos) {
        switch (event) {
            case FollowEvent.RecordRead read -> {
                if (read.offset() >= mState.nextOffset()) {
                    apply(read, nowNanos);
                }
            }
            case FollowEvent.ReachedEnd end -> {
                if (mState.nextOffset() >= end.endOffset()) {
                    mIncarnation.monitor().onLogEnd(end.readStartedNanos());
                    mSupervisor.onLogEnd(end.readStartedNanos());
                    mDeciderRunner.onLogEnd(end.readStartedNanos());
                }
            }
            case FollowEvent.RetentionPassed passed -> {
                LogEvent.LOG_UNAVAILABLE.log(passed.error().message());
                mContext.reload().run();
            }
            case FollowEvent.ReadFailed failed -> {}
        }
    }

    private void apply(FollowEvent.RecordRead read, long nowNanos) {
        String place = Incarnation.CONTROL_STREAM + "@" + read.offset();
        BatchCodec.decode(place, read.bytes())
                .peek(batch -> apply(read.offset(), batch, nowNanos))
                .peekLeft(
                        error -> {
                            LogEvent.RECORD_SKIPPED.log(error.message());
                            mState.skip(read.offset());
                        });
    }

    private void apply(long offset, CommandBatch batch, long nowNanos) {
        List<CommandResult> results = mState.apply(offset, batch);
        boolean own =
                batch.author().equals(mOwn) && batch.authorIncarnation() == mIncarnation.number();
        if (own) {
            mIncarnation.appender().confirm(batch.sequence());
        }
        mIncarnation.monitor().onHeard(batch.author(), batch.authorIncarnation(), nowNanos);
        for (CommandResult result : results) {
            mDeciderRunner.onResult(result);
            onResult(result, own);
        }
        onMembers(nowNanos);
        mSupervisor.onState(mState, results, nowNanos);
    }

    private void onResult(CommandResult result, boolean own) {
        Command command = result.command();
        CommandEvents.log(result, mState);
        if (command instanceof IdentifiedCommand identified) {
            mRoutingDirty = true;
            mHistory.record(result, mState.logTimeMillis());
            if (own) {
                mPending.complete(identified.commandId(), result, mState.verdicts());
            }
            return;
        }
        switch (command) {
            case ChangeSlots change -> {
                mRoutingDirty = true;
                if (own) {
                    mContext.slotUse().applied(mState.slots(), mOwn);
                }
            }
            case TrustMember trust -> {
                if (own && result.accepted()) {
                    mIncarnation.monitor().onTrusted(trust.target(), trust.targetIncarnation());
                }
            }
            default -> {}
        }
    }

    private void onMembers(long nowNanos) {
        mIncarnation.monitor().onMembers(mState.members(), nowNanos);
        if (mState.members().epoch() == mKnownEpoch) {
            return;
        }
        mKnownEpoch = mState.members().epoch();
        mRoutingDirty = true;
        mMesh.update(mState.members());
        if (mIncarnation.wasRemoved() && !mStopping) {
            LogEvent.MEMBER_REMOVED.log(mOwn, mIncarnation.number(), mKnownEpoch);
            rejoin(nowNanos);
        }
    }

    private void rejoin(long nowNanos) {
        mContext.slotUse().clearHeld();
        mWorkerCommands.clear();
        mIncarnation = mContext.appenders().begin(mContext.joinTemplate());
        mIncarnation.monitor().onMembers(mState.members(), nowNanos);
        mDemand.raiseTo(SlotPlanner.meanDemand(mState));
        mDeciderRunner.reset();
        mFigureSequence = 0;
    }

    private void onLoaded(ClusterState state, long nowNanos) {
        boolean reloaded = mKnownEpoch >= 0;
        mState = state;
        mKnownEpoch = -1;
        if (reloaded) {
            // The results of this incarnation's last commands may precede the snapshot's offset.
            rejoin(nowNanos);
        }
        onMembers(nowNanos);
        mSupervisor.onState(mState, List.of(), nowNanos);
        mDemand.raiseTo(SlotPlanner.meanDemand(mState));
        mDeciderRunner.reset();
        mRoutingDirty = true;
    }

    private void onPeer(Link link, PeerMessage message, long nowNanos) {
        switch (message) {
            case PeerPing ping -> {
                boolean promise =
                        mIncarnation
                                .monitor()
                                .onPing(ping.instance(), ping.incarnation(), nowNanos);
                mSupervisor.onPeerOffset(ping.instance(), ping.logOffset(), nowNanos);
                link.send(
                        new PeerPong(
                                mOwn,
                                mIncarnation.number(),
                                ping.ticketNanos(),
                                promise,
                                mState.nextOffset()));
            }
            case PeerPong pong -> {
                mIncarnation
                        .monitor()
                        .onPong(
                                pong.instance(),
                                pong.incarnation(),
                                pong.ticketNanos(),
                                pong.promise(),
                                nowNanos);
                mSupervisor.onPeerOffset(pong.instance(), pong.logOffset(), nowNanos);
            }
            case AnswerQuery query -> AnswerQueries.answer(mContext.claims(), query, link);
            case AnswerReply reply -> mContext.answers().onReply(reply);
            case UsageReport report -> mUsageCollector.add(report);
            case TaskAdvice advice -> applyAdvice(advice);
        }
    }

    private void applyAdvice(TaskAdvice advice) {
        if (advice.throttlePercent() == 0) {
            mSupervisor.requestCheckpoint(advice.worker(), advice.token());
        } else {
            mSupervisor.throttle(advice.worker(), advice.token(), advice.throttlePercent());
        }
    }

    private void onList(InstanceList list, long nowNanos) {
        Set<InstanceId> present = new HashSet<>();
        list.ofKind(InstanceKind.ENTRY)
                .forEach(entry -> InstanceId.parse(entry.id()).forEach(present::add));
        if (!present.isEmpty()) {
            mIncarnation
                    .monitor()
                    .onList(present, list.version(), nowNanos)
                    .forEach(mIncarnation::offer);
        }
        Set<EndpointId> live = new HashSet<>();
        SortedMap<WorkerId, String> addresses = new TreeMap<>(mContext.workerAddresses());
        for (InstanceEntry entry : list.entries()) {
            if (entry.kind() == InstanceKind.ENDPOINT && entry.state() == InstanceState.LIVE) {
                EndpointId.parse(entry.id()).forEach(live::add);
            } else if (entry.kind() == InstanceKind.WORKER) {
                WorkerId.parse(entry.id()).forEach(id -> addresses.put(id, entry.address()));
            }
        }
        mSupervisor.onAddresses(addresses, nowNanos);
        mLiveEndpoints = live;
        mRoutingDirty = true;
    }

    private Set<EndpointId> endpoints() {
        return mState.config().configuration().endpoints().keySet();
    }

    private void tick(long nowNanos) {
        boolean active = mIncarnation.monitor().active(nowNanos);
        mWindow.set(mIncarnation.monitor().activeUntilNanos());
        boolean changed = mWasActive != active;
        mWasActive = active;
        if (changed) {
            (active ? LogEvent.MEMBER_ACTIVE : LogEvent.MEMBER_INACTIVE).log();
        }
        mIncarnation.monitor().tick(nowNanos).forEach(this::offerMembership);
        if (mTimers.mPing.due(nowNanos)) {
            mMesh.broadcast(
                    new PeerPing(mOwn, mIncarnation.number(), nowNanos, mState.nextOffset()));
        }
        supervise(nowNanos, active);
        if (active && !mStopping) {
            mDeciderRunner.run(mState, mUsageCollector.take(mState), nowNanos, this);
            planSlots(nowNanos);
        }
        if (mRoutingDirty || changed) {
            publishRouting();
        }
        if (mTimers.mExpiry.due(nowNanos)) {
            mPending.expire(nowNanos);
            mContext.claims().expire();
            mContext.answers().expire();
        }
        renew(nowNanos);
        mSnapshots.update(mState, mOwn);
        if (mTimers.mFigures.due(nowNanos)) {
            reportFigures();
        }
    }

    private void offerMembership(Command command) {
        if (command instanceof SuspectMember suspect) {
            LogEvent.MEMBER_SUSPECTED.log(
                    suspect.target(),
                    TimeUnit.NANOSECONDS.toMillis(MembershipMonitor.SUSPICION_NANOS));
        }
        mIncarnation.offer(command);
    }

    private void supervise(long nowNanos, boolean active) {
        mWorkerLinks.update(mSupervisor.wantedLinks());
        SupervisorOutput output = mSupervisor.tick(nowNanos, active);
        output.messages()
                .forEach(message -> mWorkerLinks.send(message.worker(), message.message()));
        mWorkerCommands.addAll(output.commands());
        if (mTimers.mWorkerCommands.due(nowNanos)) {
            mWorkerCommands.forEach(mIncarnation::offer);
            mWorkerCommands.clear();
        }
        if (mTimers.mUsage.due(nowNanos)) {
            mUsageForwarder.take(mSupervisor.usage(), mState).forEach(this::forward);
        }
    }

    private void forward(InstanceId decider, UsageReport report) {
        if (decider.equals(mOwn)) {
            mUsageCollector.add(report);
        } else {
            mMesh.send(decider, report);
        }
    }

    private void planSlots(long nowNanos) {
        if (!mTimers.mSlots.due(nowNanos)) {
            return;
        }
        mDemand.sample(mContext.slotUse().totalUsed(), mContext.front().queuedCount(), nowNanos);
        mSlotPlanner
                .plan(mState, mContext.slotUse(), mLeavingEndpoints, nowNanos)
                .ifPresent(this::changeSlots);
    }

    private void changeSlots(ChangeSlots planned) {
        ChangeSlots command = mContext.slotUse().begin(planned);
        if (!command.changes().isEmpty() && !mIncarnation.offer(command)) {
            mContext.slotUse().applied(mState.slots(), mOwn);
        }
    }

    private void renew(long nowNanos) {
        boolean due = mTimers.mRenew.due(nowNanos);
        long version = mState.config().version();
        boolean demandChanged = mDemand.takeChange().isPresent();
        if (!mIncarnation.monitor().member() || mStopping || logUnavailable()) {
            return;
        }
        if (due || demandChanged || version != mRenewedConfigVersion) {
            mRenewedConfigVersion = version;
            mIncarnation.offer(new RenewMember(version, mDemand.published()));
        }
    }

    private boolean logUnavailable() {
        return mIncarnation.appender().isUnavailable();
    }

    private void reportFigures() {
        if (!mIncarnation.monitor().member()) {
            return;
        }
        SortedMap<String, byte[]> histograms = mContext.latency().take();
        if (!histograms.isEmpty()) {
            mFigureSequence++;
            mIncarnation.offer(new ReportFigures(mFigureSequence, histograms));
        }
    }

    private void publishRouting() {
        mRoutingDirty = false;
        Set<EndpointId> leaving = new HashSet<>();
        if (!mLiveEndpoints.isEmpty()) {
            endpoints().stream()
                    .filter(endpoint -> !mLiveEndpoints.contains(endpoint))
                    .forEach(leaving::add);
        }
        leaving.stream()
                .filter(endpoint -> !mLeavingEndpoints.contains(endpoint))
                .forEach(endpoint -> LogEvent.ENDPOINT_LEAVING.log(endpoint));
        mLeavingEndpoints = leaving;
        mContext.front().publish(RoutingView.from(mState, mOwn, leaving, mWindow::isOpen));
    }

    /** Starts the shutdown: reports the last figures and gives back all idle slots. */
    void giveBackSlots() {
        mStopping = true;
        reportFigures();
        mSlotPlanner.giveBackAll(mState, mContext.slotUse()).ifPresent(this::changeSlots);
    }

    /** Returns whether a change of slots has not been read back from the log yet. */
    boolean slotsOutstanding() {
        return mContext.slotUse().isOutstanding();
    }

    void leave() {
        mStopping = true;
        mIncarnation.offer(new LeaveMember());
    }

    boolean member() {
        return mIncarnation.monitor().member();
    }

    void closeLinks() {
        mMesh.close();
        mWorkerLinks.close();
    }
}
