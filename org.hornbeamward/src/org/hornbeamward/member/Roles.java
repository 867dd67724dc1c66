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

/** Assigns roles to members. The result depends only on the replicated state. */
public final class Roles {
    private Roles() {}

    /**
     * Returns the member that places tasks in a region (its decider).
     *
     * @param region the region
     * @param members all members
     * @return one of the region's members, or of all members if the region has none; empty if there
     *     are no members
     */
    public static Optional<InstanceId> deciderOf(RegionId region, Collection<Member> members) {
        return pick("region/" + region, members, inRegion(region));
    }

    /**
     * Returns the member that supervises a registered worker.
     *
     * @param worker its registration
     * @param members all members
     * @return a member in the worker's region but outside its failure domain, or one of all members
     *     if there is none; empty if there are no members
     */
    public static Optional<InstanceId> supervisorOf(
            RegisterWorker worker, Collection<Member> members) {
        Predicate<Member> outside =
                member -> !member.join().failureDomain().equals(worker.failureDomain());
        return pick("worker/" + worker.worker(), members, inRegion(worker.region()).and(outside));
    }

    /**
     * Returns the member that contacts an unregistered worker in order to register it.
     *
     * @param worker the worker
     * @param members all members
     * @return one of all members, since the worker's region is not known yet; empty if there are no
     *     members
     */
    public static Optional<InstanceId> registrarOf(WorkerId worker, Collection<Member> members) {
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
