package org.hornbeamward.bench.recovery;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.member.MembershipMonitor;
import org.hornbeamward.member.Roles;
import org.hornbeamward.schedule.decide.Decider;
import org.hornbeamward.schedule.policy.BestFitPolicy;
import org.hornbeamward.schedule.worker.OutgoingMessage;
import org.hornbeamward.schedule.worker.SupervisorOutput;
import org.hornbeamward.schedule.worker.WorkerSupervisor;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.transport.message.StartTask;
import org.hornbeamward.transport.message.WorkerMessage;
import org.jspecify.annotations.Nullable;

/**
 * One incarnation of an entry instance. Runs the product's replicated state, membership monitor,
 * decider and supervisor, connected as in the control duty of the entry process.
 */
final class VirtualMember {
    static final long TICK_NANOS = 20_000_000;
    private static final long PING_INTERVAL_NANOS = 500_000_000;
    private static final long DECIDE_INTERVAL_NANOS = 40_000_000;
    private static final long FRESH_LOG_NANOS = 2_000_000_000;
    private static final long READ_INTERVAL_NANOS = 100_000_000;

    /** Time after which a read at the end of the log returns empty if no record arrives. */
    private static final long LONG_POLL_TIMEOUT_NANOS = 380_000_000;

    final JoinMember mJoin;
    final long mIncarnation;
    final ClusterState mState = new ClusterState();
    final MembershipMonitor mMonitor;
    final WorkerSupervisor mSupervisor;
    final VirtualAppender mAppender;
    private final VirtualCluster mCluster;
    private final EventQueue mTime;
    private final JitteredBackoff mReadBackoff;
    private final Map<WorkerId, VirtualLink> mLinks = new TreeMap<>();
    private @Nullable Decider mDecider;
    private Set<RegionId> mRegions = Set.of();
    private boolean mReading;
    private long mReadStartedNanos;
    private long mNextReadNanos;
    private long mLogEndNanos = Long.MIN_VALUE / 2;
    private long mNextDecideNanos;
    private long mNextPingNanos;
    boolean mJoined;
    boolean mDead;

    VirtualMember(VirtualCluster cluster, JoinMember join, Random random) {
        mCluster = cluster;
        mTime = cluster.time();
        mJoin = join;
        mIncarnation = join.incarnation();
        mMonitor = new MembershipMonitor(join.instance(), mIncarnation, join.failureDomain());
        mSupervisor = new WorkerSupervisor(join.instance());
        mReadBackoff = new JitteredBackoff(new Random(random.nextLong()), 250, 8_000);
        mAppender = new VirtualAppender(cluster, this, new Random(random.nextLong()));
        mNextReadNanos = mTime.nowNanos();
        mSupervisor.onAddresses(cluster.addresses(), mTime.nowNanos());
        mTime.after(1 + random.nextLong(TICK_NANOS), this::tick);
    }

    InstanceId id() {
        return mJoin.instance();
    }

    boolean active() {
        return !mDead && mMonitor.active(mTime.nowNanos());
    }

    boolean decides() {
        return mDecider != null;
    }

    /** Stops placing pending tasks. */
    void stopDeciding() {
        mNextDecideNanos = Long.MAX_VALUE;
    }

    void onLinkOpen(VirtualLink link) {
        mSupervisor.onLinkOpen(link.mWorker.mIdentity.worker(), mTime.nowNanos());
    }

    void onWorkerMessage(VirtualLink link, WorkerMessage message) {
        mSupervisor.onMessage(link.mWorker.mIdentity.worker(), message, mTime.nowNanos());
    }

    /** Handles a ping of another member and answers it after the network delay. */
    void onPing(VirtualMember from, long ticketNanos, long logOffset) {
        boolean promise = mMonitor.onPing(from.id(), from.mIncarnation, mTime.nowNanos());
        mSupervisor.onPeerOffset(from.id(), logOffset, mTime.nowNanos());
        long ownOffset = mState.nextOffset();
        mCluster.deliver(
                from,
                () -> {
                    from.mMonitor.onPong(
                            id(), mIncarnation, ticketNanos, promise, mTime.nowNanos());
                    from.mSupervisor.onPeerOffset(id(), ownOffset, mTime.nowNanos());
                });
    }

    private void tick() {
        if (mDead) {
            return;
        }
        long nowNanos = mTime.nowNanos();
        readLog(nowNanos);
        if (mJoined && !mDead) {
            boolean active = mMonitor.active(nowNanos);
            mMonitor.tick(nowNanos).forEach(mAppender::offer);
            pingPeers(nowNanos);
            supervise(nowNanos, active);
            if (active) {
                decide(nowNanos);
            }
        }
        mTime.after(TICK_NANOS, this::tick);
    }

    private void readLog(long nowNanos) {
        if (!mReading) {
            if (nowNanos < mNextReadNanos) {
                return;
            }
            mReading = true;
            mReadStartedNanos = nowNanos;
        }
        if (!mCluster.log().mAvailable) {
            mReading = false;
            mNextReadNanos = nowNanos + mReadBackoff.nextWaitMillis() * 1_000_000;
            return;
        }
        boolean records = mState.nextOffset() < mCluster.log().size();
        if (!records && mJoined && nowNanos - mReadStartedNanos < LONG_POLL_TIMEOUT_NANOS) {
            return;
        }
        mReading = false;
        mReadBackoff.reset();
        while (!mDead && mState.nextOffset() < mCluster.log().size()) {
            apply(mState.nextOffset(), nowNanos);
        }
        mMonitor.onLogEnd(mReadStartedNanos);
        mSupervisor.onLogEnd(mReadStartedNanos);
        mLogEndNanos = mReadStartedNanos;
        mNextReadNanos = mReadStartedNanos + READ_INTERVAL_NANOS;
        if (!mJoined) {
            mJoined = true;
            mAppender.offer(mJoin);
        }
    }

    private void apply(long offset, long nowNanos) {
        CommandBatch batch =
                BatchCodec.decode("control@" + offset, mCluster.log().record(offset)).get();
        List<CommandResult> results = mState.apply(offset, batch);
        if (mJoined) {
            mMonitor.onHeard(batch.author(), batch.authorIncarnation(), nowNanos);
        }
        boolean own = batch.author().equals(id()) && batch.authorIncarnation() == mIncarnation;
        for (CommandResult result : results) {
            if (mDecider != null) {
                mDecider.onResult(result);
            }
            if (own && result.accepted() && result.command() instanceof TrustMember trust) {
                mMonitor.onTrusted(trust.target(), trust.targetIncarnation());
            }
        }
        mMonitor.onMembers(mState.members(), nowNanos);
        mSupervisor.onState(mState, results, nowNanos);
        if (own && results.stream().anyMatch(VirtualMember::endsTask)) {
            mCluster.onFailurePoint(this, FailurePoint.BEFORE_ACKNOWLEDGEMENT);
        }
    }

    private static boolean endsTask(CommandResult result) {
        return result.accepted() && result.command() instanceof EndTask;
    }

    private void pingPeers(long nowNanos) {
        if (nowNanos < mNextPingNanos) {
            return;
        }
        mNextPingNanos = nowNanos + PING_INTERVAL_NANOS;
        long logOffset = mState.nextOffset();
        for (VirtualMember peer : mCluster.members()) {
            boolean known = mState.members().find(peer.id(), peer.mIncarnation).isPresent();
            if (peer != this && known) {
                mCluster.deliver(peer, () -> peer.onPing(this, nowNanos, logOffset));
            }
        }
    }

    private void supervise(long nowNanos, boolean active) {
        Set<WorkerId> wanted = mSupervisor.wantedLinks().keySet();
        mLinks.entrySet()
                .removeIf(
                        entry -> {
                            boolean dropped = !wanted.contains(entry.getKey());
                            if (dropped) {
                                entry.getValue().close();
                            }
                            return dropped;
                        });
        for (WorkerId worker : wanted) {
            mLinks.computeIfAbsent(
                    worker, id -> new VirtualLink(mCluster, this, mCluster.worker(id)));
        }
        SupervisorOutput output = mSupervisor.tick(nowNanos, active);
        for (OutgoingMessage outgoing : output.messages()) {
            VirtualLink link = mLinks.get(outgoing.worker());
            if (link != null && !mDead) {
                link.toWorker(outgoing.message());
                if (outgoing.message() instanceof StartTask) {
                    mCluster.onFailurePoint(this, FailurePoint.AFTER_START);
                }
            }
        }
        for (Command command : output.commands()) {
            mAppender.offer(command);
        }
    }

    private void decide(long nowNanos) {
        if (nowNanos - mLogEndNanos > FRESH_LOG_NANOS || nowNanos < mNextDecideNanos) {
            return;
        }
        mNextDecideNanos = nowNanos + DECIDE_INTERVAL_NANOS;
        Set<RegionId> regions = new HashSet<>();
        mState.work()
                .workers()
                .values()
                .forEach(worker -> regions.add(worker.registration().region()));
        regions.removeIf(
                region ->
                        !Roles.deciderOf(region, mState.members().all().values())
                                .equals(Optional.of(id())));
        if (regions.isEmpty()) {
            mDecider = null;
            return;
        }
        Decider decider = mDecider;
        if (decider == null || !regions.equals(mRegions)) {
            decider = new Decider(new BestFitPolicy());
            decider.setRegions(regions);
            mDecider = decider;
            mRegions = regions;
        }
        decider.decide(mState, List.of(), nowNanos).commands().forEach(mAppender::offer);
    }
}
