package org.hornbeamward.member;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.RendezvousHash;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.state.Member;

/** Roles of members, computed from the replicated state alone. */
public final class Roles {
    private Roles() {}

    /**
     * Returns the decider of a region.
     *
     * @param region the region
     * @param members all members
     * @return one of the region's members, or of all members if the region has none; empty without
     *     members
     */
    public static Optional<InstanceId> deciderOf(RegionId region, Collection<Member> members) {
        return pick("region/" + region, members, inRegion(region));
    }

    /**
     * Returns the supervisor of a registered worker.
     *
     * @param worker its registration
     * @param members all members
     * @return a member of the worker's region outside its failure domain, or any member if there is
     *     no such one; empty without members
     */
    public static Optional<InstanceId> supervisorOf(
            RegisterWorker worker, Collection<Member> members) {
        Predicate<Member> outside =
                member -> !member.join().failureDomain().equals(worker.failureDomain());
        return pick("worker/" + worker.worker(), members, inRegion(worker.region()).and(outside));
    }

    /**
     * Returns the member that contacts a worker which is not registered, so that it can be
     * registered.
     *
     * @param worker the worker
     * @param members all members
     * @return one of all members, since the worker's region is not known; empty without members
     */
    public static Optional<InstanceId> finderOf(WorkerId worker, Collection<Member> members) {
        return pick("worker/" + worker, members, member -> true);
    }

    private static Predicate<Member> inRegion(RegionId region) {
        return member -> member.join().region().equals(region);
    }

    private static Optional<InstanceId> pick(
            String key, Collection<Member> members, Predicate<Member> preferred) {
        List<InstanceId> candidates =
                members.stream().filter(preferred).map(Member::instance).toList();
        if (candidates.isEmpty()) {
            candidates = members.stream().map(Member::instance).toList();
        }
        return RendezvousHash.pick(key, candidates);
    }
}
