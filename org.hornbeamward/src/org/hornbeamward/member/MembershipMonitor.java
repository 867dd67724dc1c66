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
 * Failure detector of one member incarnation. Decides which members it suspects, which members it
 * promises not to suspect, and whether it may act itself. All times are readings of this process's
 * monotonic clock. Confined to one thread.
 */
public final class MembershipMonitor {
    /**
     * How long a promise or a log read allows a member to act, counted from the time at which its
     * heartbeat or read request was sent. A member that gets neither is inactive after this time.
     */
    public static final long PROMISE_NANOS = 4_000_000_000L;

    /** Time without contact after which a member is suspected. */
    public static final long SUSPICION_NANOS = 3_000_000_000L;

    /** Time without contact and absent from the platform's list after which a member is removed. */
    public static final long ABSENCE_NANOS = 15_000_000_000L;

    private static final int ABSENT_POLL_COUNT = 2;

    private final InstanceId mOwn;
    private final long mOwnIncarnation;
    private final FailureDomainId mOwnDomain;
    private final Map<InstanceId, Peer> mPeers = new HashMap<>();
    private long mLogReadStartedNanos;
    private boolean mLogEndReached;
    private boolean mIsMember;

    /**
     * Creates the failure detector of one incarnation.
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

    /** What this incarnation knows about another incarnation. */
    private static final class Peer {
        final long mIncarnation;
        final FailureDomainId mFailureDomain;
        long mLastHeardNanos;
        boolean mSuspected;
        boolean mTrustRequested;
        boolean mPromiseReceived;
        long mPromiseTicketNanos;
        @Nullable Long mAbsentSinceNanos;
        int mAbsentPollCount;
        boolean mRemovalRequested;

        Peer(Member member, long nowNanos) {
            mIncarnation = member.incarnation();
            mFailureDomain = member.join().failureDomain();
            mLastHeardNanos = nowNanos;
        }
    }

    /**
     * Updates the known members from the replicated state. Must be called after records were
     * applied.
     *
     * @param members the members
     * @param nowNanos monotonic time
     */
    public void onMembers(MemberTable members, long nowNanos) {
        mIsMember = members.find(mOwn, mOwnIncarnation).isPresent();
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
     * Records that this member's own {@link TrustMember} was accepted. Only then may the target get
     * promises again, because an earlier {@link SuspectMember} may not have reached the log yet
     * when {@link TrustMember} is appended.
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
     * Records contact with an incarnation: a message from it or a log record that it wrote.
     *
     * @param from the instance
     * @param incarnation its incarnation
     * @param nowNanos monotonic time
     */
    public void onHeard(InstanceId from, long incarnation, long nowNanos) {
        Peer peer = mPeers.get(from);
        if (peer != null && peer.mIncarnation == incarnation) {
            peer.mLastHeardNanos = nowNanos;
        }
    }

    /**
     * Handles a heartbeat from another member and decides whether to answer with a promise.
     *
     * @param from the sender
     * @param incarnation its incarnation
     * @param nowNanos monotonic time
     * @return true if the answer may carry a promise
     */
    public boolean onPing(InstanceId from, long incarnation, long nowNanos) {
        onHeard(from, incarnation, nowNanos);
        Peer peer = mPeers.get(from);
        return mIsMember && peer != null && peer.mIncarnation == incarnation && !peer.mSuspected;
    }

    /**
     * Handles the answer to a heartbeat.
     *
     * @param from the answering member
     * @param incarnation its incarnation
     * @param ticketNanos ticket of the heartbeat: this process's monotonic time when it was sent
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
        if (!peer.mPromiseReceived || ticketNanos - peer.mPromiseTicketNanos > 0) {
            peer.mPromiseReceived = true;
            peer.mPromiseTicketNanos = ticketNanos;
        }
    }

    /**
     * Records that a log read reached the end of the log and that its records were applied.
     *
     * @param readStartedNanos monotonic time when the read request was sent
     */
    public void onLogEnd(long readStartedNanos) {
        if (!mLogEndReached || readStartedNanos - mLogReadStartedNanos > 0) {
            mLogEndReached = true;
            mLogReadStartedNanos = readStartedNanos;
        }
    }

    /**
     * Handles an accepted version of the platform's list of instances.
     *
     * @param present instances that the list contains as live or leaving
     * @param version its version
     * @param nowNanos monotonic time
     * @return removals to append; a member with recent contact is never removed, because the list
     *     may not contain a new instance yet
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
                            && nowNanos - peer.mLastHeardNanos >= ABSENCE_NANOS;
            if (absent && mIsMember && !peer.mRemovalRequested) {
                peer.mRemovalRequested = true;
                commands.add(new RemoveAbsentMember(entry.getKey(), peer.mIncarnation, version));
            }
        }
        return commands;
    }

    /**
     * Finds members to suspect and suspected members to trust again. A suspected member gets no
     * more promises from this moment on, even before the suspicion is in the log.
     *
     * @param nowNanos monotonic time
     * @return commands to append
     */
    public List<Command> tick(long nowNanos) {
        List<Command> commands = new ArrayList<>();
        if (!mIsMember) {
            return commands;
        }
        for (Map.Entry<InstanceId, Peer> entry : mPeers.entrySet()) {
            Peer peer = entry.getValue();
            boolean silent = nowNanos - peer.mLastHeardNanos >= SUSPICION_NANOS;
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
     * Tells whether this member may use slots, grant leases and place tasks.
     *
     * @param nowNanos monotonic time
     * @return true for {@link #PROMISE_NANOS} after the heartbeat that a member of another failure
     *     domain answered with a promise, and after the start of a log read that reached the end
     */
    public boolean active(long nowNanos) {
        OptionalLong until = activeUntilNanos();
        return until.isPresent() && nowNanos - until.getAsLong() < 0;
    }

    /**
     * Returns the time until which this member may act. Other threads compare it with the clock
     * themselves, so that they notice the expiry after a pause of this process.
     *
     * @return reading of the monotonic clock, empty if this incarnation is not a member or has
     *     neither a promise nor a log read
     */
    public OptionalLong activeUntilNanos() {
        if (!mIsMember) {
            return OptionalLong.empty();
        }
        OptionalLong until =
                mLogEndReached
                        ? OptionalLong.of(mLogReadStartedNanos + PROMISE_NANOS)
                        : OptionalLong.empty();
        for (Peer peer : mPeers.values()) {
            boolean valid =
                    peer.mPromiseReceived
                            && !peer.mSuspected
                            && !peer.mFailureDomain.equals(mOwnDomain);
            long end = peer.mPromiseTicketNanos + PROMISE_NANOS;
            if (valid && (until.isEmpty() || end - until.getAsLong() > 0)) {
                until = OptionalLong.of(end);
            }
        }
        return until;
    }

    /**
     * Tells whether this incarnation is a member according to the applied records.
     *
     * @return true if it is a member
     */
    public boolean member() {
        return mIsMember;
    }
}
