package org.hornbeamward.member;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.member.MembershipPropertyTest.Fault;
import org.hornbeamward.member.MembershipPropertyTest.Kind;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;

/** Simulates members that share a log, with a virtual clock that advances in ticks of 250 ms. */
final class MemberGroup {
    private static final long TICK_NANOS = 250_000_000L;

    /**
     * Time from reading a removal until a successor may take over: the promise time extended by 2
     * %, since clocks of two instances differ in rate.
     */
    private static final long TAKEOVER_NANOS = MembershipMonitor.PROMISE_NANOS / 50 * 51;

    private final List<CommandBatch> mLog = new ArrayList<>();
    private final List<Node> mNodes = new ArrayList<>();
    private long mNowNanos;

    private final class Node {
        final int mIndex;
        final InstanceId mInstance;
        final MembershipMonitor mMonitor;
        final ClusterState mState = new ClusterState();
        final Map<InstanceId, Long> mRemovalReadNanos = new HashMap<>();
        final List<Command> mOutbox = new ArrayList<>();
        long mSequence;

        Node(int index) {
            mIndex = index;
            mInstance = new InstanceId("entry-" + index);
            FailureDomainId domain = new FailureDomainId("d" + index % 3);
            mMonitor = new MembershipMonitor(mInstance, index, domain);
            mOutbox.add(new JoinMember(mInstance, index, domain, new RegionId("r"), "a:1", "a:2"));
        }

        void append() {
            if (mOutbox.isEmpty()) {
                return;
            }
            mLog.add(new CommandBatch(mInstance, mIndex, ++mSequence, 0, List.copyOf(mOutbox)));
            mOutbox.clear();
        }

        void read() {
            while (mState.nextOffset() < mLog.size()) {
                long offset = mState.nextOffset();
                CommandBatch batch = mLog.get((int) offset);
                List<InstanceId> membersBefore = List.copyOf(mState.members().all().keySet());
                List<CommandResult> results = mState.apply(offset, batch);
                mMonitor.onMembers(mState.members(), mNowNanos);
                mMonitor.onHeard(batch.author(), batch.authorIncarnation(), mNowNanos);
                for (CommandResult result : results) {
                    if (batch.author().equals(mInstance)
                            && result.accepted()
                            && result.command() instanceof TrustMember trust) {
                        mMonitor.onTrusted(trust.target(), trust.targetIncarnation());
                    }
                }
                for (InstanceId member : membersBefore) {
                    if (!mState.members().all().containsKey(member)) {
                        mRemovalReadNanos.put(member, mNowNanos);
                    }
                }
            }
            mMonitor.onLogEnd(mNowNanos);
        }
    }

    MemberGroup(int size) {
        for (int index = 0; index < size; index++) {
            mNodes.add(new Node(index));
        }
    }

    void tick(int tick, List<Fault> faults) {
        mNowNanos += TICK_NANOS;
        for (Node node : mNodes) {
            if (isFaultActive(faults, tick, Kind.PAUSE, node.mIndex, node.mIndex)) {
                continue;
            }
            boolean logReachable =
                    !isFaultActive(faults, tick, Kind.LOG_DOWN, -1, -1)
                            && !isFaultActive(faults, tick, Kind.CUT_LOG, node.mIndex, -1);
            if (logReachable) {
                node.append();
                node.read();
            }
            for (Node other : mNodes) {
                if (other != node && isLinkUp(faults, tick, node, other)) {
                    boolean promise = other.mMonitor.onPing(node.mInstance, node.mIndex, mNowNanos);
                    node.mMonitor.onPong(
                            other.mInstance, other.mIndex, mNowNanos, promise, mNowNanos);
                }
            }
            node.mOutbox.addAll(node.mMonitor.tick(mNowNanos));
        }
    }

    private static boolean isLinkUp(List<Fault> faults, int tick, Node node, Node other) {
        return !isFaultActive(faults, tick, Kind.CUT_LINK, node.mIndex, other.mIndex)
                && !isFaultActive(faults, tick, Kind.CUT_LINK, other.mIndex, node.mIndex)
                && !isFaultActive(faults, tick, Kind.PAUSE, other.mIndex, other.mIndex);
    }

    private static boolean isFaultActive(
            List<Fault> faults, int tick, Kind kind, int member, int other) {
        return faults.stream()
                .anyMatch(
                        fault ->
                                fault.kind() == kind
                                        && (member < 0 || fault.member() == member)
                                        && (kind != Kind.CUT_LINK || fault.other() == other)
                                        && tick >= fault.startTick()
                                        && tick < fault.startTick() + fault.tickCount());
    }

    void assertNoTakeoverWhileActive() {
        for (Node successor : mNodes) {
            successor.mRemovalReadNanos.forEach(
                    (removed, readNanos) -> {
                        boolean mayTakeOver = mNowNanos - readNanos >= TAKEOVER_NANOS;
                        int index = Integer.parseInt(removed.value().substring(6));
                        assertFalse(
                                mayTakeOver && isActive(index),
                                removed + " is still active at takeover");
                    });
        }
    }

    boolean isActive(int index) {
        return mNodes.get(index).mMonitor.active(mNowNanos);
    }

    boolean isMember(int index) {
        return mNodes.get(0).mState.members().all().containsKey(mNodes.get(index).mInstance);
    }
}
