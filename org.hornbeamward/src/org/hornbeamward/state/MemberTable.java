package org.hornbeamward.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The entry instances that are members of the cluster, and the rules that remove them. Confined to
 * the thread that applies the log.
 */
public final class MemberTable {
    private static final int MAX_ENDED_INCARNATIONS = 4096;

    final SortedMap<InstanceId, Member> mMembers = new TreeMap<>();
    final Set<Long> mEndedIncarnations = new LinkedHashSet<>();
    long mEpochToken;

    MemberTable() {}

    /**
     * Returns all members.
     *
     * @return an unmodifiable view, by instance id
     */
    public SortedMap<InstanceId, Member> all() {
        return Collections.unmodifiableSortedMap(mMembers);
    }

    /**
     * Finds a member.
     *
     * @param instance its id
     * @param incarnation its incarnation
     * @return the member, or empty if that incarnation is not a member
     */
    public Optional<Member> find(InstanceId instance, long incarnation) {
        return Optional.ofNullable(mMembers.get(instance))
                .filter(member -> member.incarnation() == incarnation);
    }

    /**
     * Returns the membership epoch.
     *
     * @return token of the last join, leave or removal; 0 before the first
     */
    public long epoch() {
        return mEpochToken;
    }

    @Nullable HornbeamwardError join(
            JoinMember join, long sequence, long wallMillis, long token, List<Member> removed) {
        if (mEndedIncarnations.contains(join.incarnation())) {
            return rejected(join.instance(), "this incarnation has ended; join with a new one");
        }
        Member previous = mMembers.get(join.instance());
        if (previous != null && previous.incarnation() == join.incarnation()) {
            return rejected(join.instance(), "this incarnation is a member already");
        }
        if (previous != null) {
            remove(previous, token, removed);
        }
        Member member = new Member(join, token, sequence, wallMillis, new TreeSet<>(), 0, 0);
        mMembers.put(join.instance(), member);
        mEpochToken = token;
        return null;
    }

    void remove(Member member, long token, List<Member> removed) {
        mMembers.remove(member.instance());
        mEndedIncarnations.add(member.incarnation());
        if (mEndedIncarnations.size() > MAX_ENDED_INCARNATIONS) {
            mEndedIncarnations.remove(mEndedIncarnations.iterator().next());
        }
        mEpochToken = token;
        removed.add(member);
        for (Member other : List.copyOf(mMembers.values())) {
            if (other.suspectedBy().contains(member.instance())) {
                TreeSet<InstanceId> suspectingMembers = new TreeSet<>(other.suspectedBy());
                suspectingMembers.remove(member.instance());
                mMembers.put(other.instance(), other.withSuspectedBy(suspectingMembers));
            }
        }
    }

    @Nullable HornbeamwardError suspect(InstanceId author, InstanceId target, long incarnation) {
        return changeSuspicion(author, target, incarnation, true);
    }

    @Nullable HornbeamwardError trust(InstanceId author, InstanceId target, long incarnation) {
        return changeSuspicion(author, target, incarnation, false);
    }

    private @Nullable HornbeamwardError changeSuspicion(
            InstanceId author, InstanceId target, long incarnation, boolean suspected) {
        Member member = find(target, incarnation).orElse(null);
        if (member == null) {
            return rejected(target, "that incarnation is not a member; read the log further");
        }
        if (author.equals(target)) {
            return rejected(target, "a member cannot suspect itself");
        }
        TreeSet<InstanceId> suspectingMembers = new TreeSet<>(member.suspectedBy());
        boolean changed =
                suspected ? suspectingMembers.add(author) : suspectingMembers.remove(author);
        if (changed) {
            mMembers.put(target, member.withSuspectedBy(suspectingMembers));
        }
        return null;
    }

    /**
     * Removes each member that is suspected by every member outside its failure domain, if there is
     * any, until no such member is left.
     */
    void removeSuspected(long token, List<Member> removed) {
        boolean changed = true;
        while (changed) {
            changed = false;
            for (Member member : new ArrayList<>(mMembers.values())) {
                if (mMembers.containsKey(member.instance()) && suspectedByAllOtherDomains(member)) {
                    remove(member, token, removed);
                    changed = true;
                }
            }
        }
    }

    /**
     * Returns the lower median of the members' wall clocks, so a few wrong clocks have no effect.
     */
    OptionalLong medianWallMillis() {
        long[] wallMillis =
                mMembers.values().stream().mapToLong(Member::lastWallMillis).sorted().toArray();
        return wallMillis.length == 0
                ? OptionalLong.empty()
                : OptionalLong.of(wallMillis[(wallMillis.length - 1) / 2]);
    }

    private boolean suspectedByAllOtherDomains(Member member) {
        FailureDomainId failureDomain = member.join().failureDomain();
        List<InstanceId> others =
                mMembers.values().stream()
                        .filter(other -> !other.join().failureDomain().equals(failureDomain))
                        .map(Member::instance)
                        .toList();
        return !others.isEmpty() && member.suspectedBy().containsAll(others);
    }

    static CommandRejected rejected(InstanceId instance, String reason) {
        return new CommandRejected("instance " + instance, reason);
    }
}
