package org.hornbeamward.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.RemoveAbsentMember;
import org.hornbeamward.command.SuspectMember;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.Member;
import org.hornbeamward.state.MemberTable;
import org.jspecify.annotations.Nullable;

/**
 * Decides for one incarnation whom it suspects, whom it promises not to suspect, and whether it may
 * act. All times are readings of this process's monotonic clock. Confined to one thread.
 */
public final class MembershipMonitor {
    /** S in the design: how long a promise or a log read lets a member act. */
    public static final long PROMISE_NANOS = 4_000_000_000L;

    /** Silence after which a member is suspected. */
    public static final long SUSPICION_NANOS = 3_000_000_000L;

    /** Absence from the platform's list after which a silent member is removed. */
    public static final long ABSENCE_NANOS = 15_000_000_000L;

    private static final int ABSENT_POLL_COUNT = 2;

    private final InstanceId mOwn;
    private final long mOwnIncarnation;
    private final FailureDomainId mOwnDomain;
    private final Map<InstanceId, Peer> mPeers = new HashMap<>();
    private long mLogReadStartedNanos;
    private boolean mLogReadSeen;
    private boolean mMember;

    /**
     * Creates the monitor of one incarnation.
     *
     * @param own this instance
     * @param ownIncarnation its incarnation
     * @param ownDomain its failure domain
     */
    public MembershipMonitor(InstanceId own, long ownIncarnation, FailureDomainId ownDomain) {
        mOwn = own;
        mOwnIncarnation = ownIncarnation;
        mOwnDomain = ownDomain;
    }

    /** What is known of one other incarnation. */
    private static final class Peer {
        final long mIncarnation;
        final FailureDomainId mFailureDomain;
        long mHeardNanos;
        boolean mSuspected;
        boolean mTrustRequested;
        boolean mPromiseSeen;
        long mPromiseTicketNanos;
        @Nullable Long mAbsentSinceNanos;
        int mAbsentPollCount;
        boolean mRemovalRequested;

        Peer(Member member, long nowNanos) {
            mIncarnation = member.incarnation();
            mFailureDomain = member.join().failureDomain();
            mHeardNanos = nowNanos;
        }
    }

    /**
     * Takes over the members from the replicated state. To be called after records were applied.
     *
     * @param members the members
     * @param nowNanos monotonic time
     */
    public void onMembers(MemberTable members, long nowNanos) {
        mMember = members.find(mOwn, mOwnIncarnation).isPresent();
        mPeers.entrySet()
                .removeIf(
                        entry ->
                                members.find(entry.getKey(), entry.getValue().mIncarnation)
                                        .isEmpty());
        for (Member member : members.all().values()) {
            if (member.instance().equals(mOwn)) {
                continue;
            }
            Peer peer = mPeers.computeIfAbsent(member.instance(), id -> new Peer(member, nowNanos));
            if (member.suspectedBy().contains(mOwn)) {
                peer.mSuspected = true;
            }
        }
    }

    /**
     * Notes that this member's own {@link TrustMember} was accepted. Promises may be given again
     * only from here on: an earlier suspicion could still be on its way to the log when trust is
     * asked for.
     *
     * @param target the member
     * @param incarnation its incarnation
     */
    public void onTrusted(InstanceId target, long incarnation) {
        Peer peer = mPeers.get(target);
        if (peer != null && peer.mIncarnation == incarnation && peer.mTrustRequested) {
            peer.mSuspected = false;
            peer.mTrustRequested = false;
        }
    }

    /**
     * Notes a sign of life: a peer message or a record by that incarnation.
     *
     * @param from the instance
     * @param incarnation its incarnation
     * @param nowNanos monotonic time
     */
    public void onHeard(InstanceId from, long incarnation, long nowNanos) {
        Peer peer = mPeers.get(from);
        if (peer != null && peer.mIncarnation == incarnation) {
            peer.mHeardNanos = nowNanos;
        }
    }

    /**
     * Handles a heartbeat and tells what to answer.
     *
     * @param from the sender
     * @param incarnation its incarnation
     * @param nowNanos monotonic time
     * @return true if the answer may carry a promise
     */
    public boolean onPing(InstanceId from, long incarnation, long nowNanos) {
        onHeard(from, incarnation, nowNanos);
        Peer peer = mPeers.get(from);
        return mMember && peer != null && peer.mIncarnation == incarnation && !peer.mSuspected;
    }

    /**
     * Handles the answer to a heartbeat.
     *
     * @param from the answering member
     * @param incarnation its incarnation
     * @param ticketNanos this process's monotonic time when it sent the heartbeat
     * @param promise true if the answer carries a promise
     * @param nowNanos monotonic time
     */
    public void onPong(
            InstanceId from, long incarnation, long ticketNanos, boolean promise, long nowNanos) {
        onHeard(from, incarnation, nowNanos);
        Peer peer = mPeers.get(from);
        if (peer == null || peer.mIncarnation != incarnation || !promise) {
            return;
        }
        if (!peer.mPromiseSeen || ticketNanos - peer.mPromiseTicketNanos > 0) {
            peer.mPromiseSeen = true;
            peer.mPromiseTicketNanos = ticketNanos;
        }
    }

    /**
     * Notes a log read that reached the end, after its records were applied.
     *
     * @param readStartedNanos monotonic time when the read was sent
     */
    public void onLogEnd(long readStartedNanos) {
        if (!mLogReadSeen || readStartedNanos - mLogReadStartedNanos > 0) {
            mLogReadSeen = true;
            mLogReadStartedNanos = readStartedNanos;
        }
    }

    /**
     * Notes an accepted version of the platform's list.
     *
     * @param present instances that it names as live or leaving
     * @param version its version
     * @param nowNanos monotonic time
     * @return removals to append; a member that was heard recently is never removed, because the
     *     list may not name a new instance yet
     */
    public List<Command> onList(Set<InstanceId> present, long version, long nowNanos) {
        List<Command> commands = new ArrayList<>();
        for (Map.Entry<InstanceId, Peer> entry : mPeers.entrySet()) {
            Peer peer = entry.getValue();
            if (present.contains(entry.getKey())) {
                peer.mAbsentSinceNanos = null;
                peer.mAbsentPollCount = 0;
                continue;
            }
            if (peer.mAbsentSinceNanos == null) {
                peer.mAbsentSinceNanos = nowNanos;
            }
            peer.mAbsentPollCount++;
            boolean absent =
                    nowNanos - peer.mAbsentSinceNanos >= ABSENCE_NANOS
                            && peer.mAbsentPollCount >= ABSENT_POLL_COUNT
                            && nowNanos - peer.mHeardNanos >= ABSENCE_NANOS;
            if (absent && mMember && !peer.mRemovalRequested) {
                peer.mRemovalRequested = true;
                commands.add(new RemoveAbsentMember(entry.getKey(), peer.mIncarnation, version));
            }
        }
        return commands;
    }

    /**
     * Finds changes of suspicion that are due. A suspected member gets no promise from this moment,
     * before the suspicion is in the log.
     *
     * @param nowNanos monotonic time
     * @return commands to append
     */
    public List<Command> tick(long nowNanos) {
        List<Command> commands = new ArrayList<>();
        if (!mMember) {
            return commands;
        }
        for (Map.Entry<InstanceId, Peer> entry : mPeers.entrySet()) {
            Peer peer = entry.getValue();
            boolean silent = nowNanos - peer.mHeardNanos >= SUSPICION_NANOS;
            if (silent && (!peer.mSuspected || peer.mTrustRequested)) {
                peer.mSuspected = true;
                peer.mTrustRequested = false;
                commands.add(new SuspectMember(entry.getKey(), peer.mIncarnation));
            } else if (!silent && peer.mSuspected && !peer.mTrustRequested) {
                peer.mTrustRequested = true;
                commands.add(new TrustMember(entry.getKey(), peer.mIncarnation));
            }
        }
        return commands;
    }

    /**
     * Tells whether this member may use slots, grant leases and dispatch.
     *
     * @param nowNanos monotonic time
     * @return true while it holds a fresh promise from another failure domain or a fresh log read
     */
    public boolean active(long nowNanos) {
        OptionalLong until = activeUntilNanos();
        return until.isPresent() && nowNanos - until.getAsLong() < 0;
    }

    /**
     * Returns until when this member may act, so that other threads can check the time themselves
     * when this process was paused.
     *
     * @return reading of the monotonic clock, empty if this incarnation is no member or has neither
     *     a promise nor a log read
     */
    public OptionalLong activeUntilNanos() {
        if (!mMember) {
            return OptionalLong.empty();
        }
        OptionalLong until =
                mLogReadSeen
                        ? OptionalLong.of(mLogReadStartedNanos + PROMISE_NANOS)
                        : OptionalLong.empty();
        for (Peer peer : mPeers.values()) {
            boolean counts =
                    peer.mPromiseSeen
                            && !peer.mSuspected
                            && !peer.mFailureDomain.equals(mOwnDomain);
            long end = peer.mPromiseTicketNanos + PROMISE_NANOS;
            if (counts && (until.isEmpty() || end - until.getAsLong() > 0)) {
                until = OptionalLong.of(end);
            }
        }
        return until;
    }

    /**
     * Tells whether this incarnation is a member by the applied records.
     *
     * @return true if it is
     */
    public boolean member() {
        return mMember;
    }
}
