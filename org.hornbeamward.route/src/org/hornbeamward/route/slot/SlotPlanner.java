package org.hornbeamward.route.slot;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.config.EndpointConfig;
import org.hornbeamward.config.ServiceConfig;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.Member;

/**
 * Decides which slots this member takes and gives back. The slots of each service are divided among
 * the members in proportion to their published demand. A plan depends only on the arguments and on
 * the times at which removals were read. Not thread-safe; confined to the thread of the control
 * duty.
 */
public final class SlotPlanner {
    /** Slots that a member keeps without demand, so that its first requests need not wait. */
    private static final int FLOOR_SLOT_COUNT = 2;

    /** Share of its target that a member may exceed, so that small changes move no slots. */
    private static final double MAX_EXCESS_SHARE = 0.05;

    private final InstanceId mOwn;
    private final RemovalWaitTracker mRemovalWaits = new RemovalWaitTracker();

    /**
     * Creates a planner.
     *
     * @param own this member
     */
    public SlotPlanner(InstanceId own) {
        mOwn = own;
    }

    /**
     * Plans the next change.
     *
     * @param state the replicated state
     * @param use counts of this member's slots
     * @param leaving endpoints that get no new requests
     * @param nowNanos monotonic time
     * @return a command to pass to {@link SlotUse#begin}, or empty if nothing is to be changed or
     *     an earlier change is outstanding
     */
    public Optional<ChangeSlots> plan(
            ClusterState state, SlotUse use, Set<EndpointId> leaving, long nowNanos) {
        Configuration configuration = state.config().configuration();
        long waitedToken =
                mRemovalWaits.observe(
                        state.slots().newestRemovalToken(),
                        longestRequestMillis(configuration),
                        nowNanos);
        if (use.isOutstanding() || !state.members().all().containsKey(mOwn)) {
            return Optional.empty();
        }
        SortedMap<EndpointId, Integer> changes = new TreeMap<>();
        giveBackUnusable(state, use, leaving, changes);
        for (String service : configuration.services().keySet()) {
            planService(service, state, use, leaving, waitedToken, changes);
        }
        return changes.isEmpty()
                ? Optional.empty()
                : Optional.of(new ChangeSlots(changes, waitedToken));
    }

    /**
     * Plans to give back all idle slots, for a graceful stop.
     *
     * @param state the replicated state
     * @param use counts of this member's slots
     * @return a command to pass to {@link SlotUse#begin}, or empty if no slot is idle or an earlier
     *     change is outstanding
     */
    public Optional<ChangeSlots> giveBackAll(ClusterState state, SlotUse use) {
        SortedMap<EndpointId, Integer> changes = new TreeMap<>();
        for (EndpointId endpoint : state.slots().endpointsOf(mOwn)) {
            if (use.idle(endpoint) > 0) {
                changes.put(endpoint, -use.idle(endpoint));
            }
        }
        return changes.isEmpty() || use.isOutstanding()
                ? Optional.empty()
                : Optional.of(new ChangeSlots(changes, 0));
    }

    private static long longestRequestMillis(Configuration configuration) {
        return configuration.services().values().stream()
                .mapToLong(ServiceConfig::requestTimeoutMillis)
                .max()
                .orElse(0);
    }

    private void giveBackUnusable(
            ClusterState state,
            SlotUse use,
            Set<EndpointId> leaving,
            SortedMap<EndpointId, Integer> changes) {
        Map<EndpointId, EndpointConfig> endpoints = state.config().configuration().endpoints();
        for (EndpointId endpoint : state.slots().endpointsOf(mOwn)) {
            EndpointConfig config = endpoints.get(endpoint);
            int idle = use.idle(endpoint);
            int held = use.held(endpoint);
            int excess =
                    config == null || leaving.contains(endpoint) ? held : held - config.slotCount();
            if (idle > 0 && excess > 0) {
                changes.put(endpoint, -Math.min(idle, excess));
            }
        }
    }

    private void planService(
            String service,
            ClusterState state,
            SlotUse use,
            Set<EndpointId> leaving,
            long waitedToken,
            SortedMap<EndpointId, Integer> changes) {
        SortedMap<EndpointId, EndpointConfig> usable = new TreeMap<>();
        int slotCount = 0;
        int held = 0;
        for (var entry : state.config().configuration().endpoints().entrySet()) {
            EndpointConfig config = entry.getValue();
            if (!config.service().equals(service) || leaving.contains(entry.getKey())) {
                continue;
            }
            usable.put(entry.getKey(), config);
            slotCount += config.slotCount();
            held += use.held(entry.getKey());
        }
        int target = targets(state.members().all(), slotCount).getOrDefault(mOwn, 0);
        if (held < target) {
            take(target - held, usable, state, use, waitedToken, changes);
        } else if (held > target + allowedExcessCount(target, usable, state)) {
            giveBack(held - target, usable, use, changes);
        }
    }

    /**
     * Returns by how many slots this member may exceed its target. It is 0 while any member holds
     * fewer than the floor, since without free slots that member can only get what others give
     * back.
     */
    private static int allowedExcessCount(
            int target, SortedMap<EndpointId, EndpointConfig> usable, ClusterState state) {
        for (InstanceId member : state.members().all().keySet()) {
            int held =
                    usable.keySet().stream()
                            .mapToInt(endpoint -> state.slots().held(endpoint, member))
                            .sum();
            if (held < FLOOR_SLOT_COUNT) {
                return 0;
            }
        }
        return (int) Math.ceil(target * MAX_EXCESS_SHARE);
    }

    /**
     * Returns the demand to which a process raises its estimate when it starts a new incarnation or
     * has loaded a replicated state.
     *
     * @param state the replicated state
     * @return mean published demand of all members, rounded down, 0 without members
     */
    public static int meanDemand(ClusterState state) {
        return (int)
                state.members().all().values().stream()
                        .mapToInt(Member::demandSlotCount)
                        .average()
                        .orElse(0);
    }

    /**
     * Divides slots among members. Each gets a floor; the rest is divided in proportion to
     * published demand by the largest remainder method.
     *
     * @param members all members
     * @param slotCount total number of slots
     * @return target of each member; the targets sum to {@code slotCount} unless there are no
     *     members
     */
    public static SortedMap<InstanceId, Integer> targets(
            SortedMap<InstanceId, Member> members, int slotCount) {
        SortedMap<InstanceId, Integer> targets = new TreeMap<>();
        if (members.isEmpty()) {
            return targets;
        }
        int floor = Math.min(FLOOR_SLOT_COUNT, slotCount / members.size());
        int rest = slotCount - floor * members.size();
        long demand = members.values().stream().mapToLong(SlotPlanner::weight).sum();
        List<Member> byRemainder = new ArrayList<>(members.values());
        int assignedCount = 0;
        for (Member member : members.values()) {
            int share = (int) (rest * weight(member) / demand);
            targets.put(member.instance(), floor + share);
            assignedCount += share;
        }
        byRemainder.sort(
                Comparator.comparingLong((Member member) -> -(rest * weight(member) % demand))
                        .thenComparing(Member::instance));
        for (int index = 0; index < rest - assignedCount; index++) {
            targets.merge(byRemainder.get(index).instance(), 1, Integer::sum);
        }
        return targets;
    }

    private static long weight(Member member) {
        return Math.max(1, member.demandSlotCount());
    }

    /**
     * Takes free slots. The first pass takes at most half of the slots of an endpoint, so that the
     * failure of one endpoint costs a member few of its slots, while each member still uses few
     * endpoints.
     */
    private void take(
            int wantedCount,
            SortedMap<EndpointId, EndpointConfig> usable,
            ClusterState state,
            SlotUse use,
            long waitedToken,
            SortedMap<EndpointId, Integer> changes) {
        List<EndpointId> order = new ArrayList<>(usable.keySet());
        order.sort(
                Comparator.comparing((EndpointId endpoint) -> use.held(endpoint) == 0)
                        .thenComparing(this::preference, Long::compareUnsigned));
        int remainingCount = wantedCount;
        for (boolean upToHalf : new boolean[] {true, false}) {
            for (EndpointId endpoint : order) {
                EndpointConfig config = usable.get(endpoint);
                int planned = changes.getOrDefault(endpoint, 0);
                if (config == null || planned < 0) {
                    continue;
                }
                int maxHeldCount = Math.min(config.slotCount(), connectionShare(config, state));
                int limit =
                        upToHalf
                                ? Math.min(maxHeldCount, (config.slotCount() + 1) / 2)
                                : maxHeldCount;
                int free = state.slots().free(endpoint, config.slotCount(), waitedToken) - planned;
                int memberFreeCount = limit - use.held(endpoint) - planned;
                int taken = Math.min(remainingCount, Math.min(free, memberFreeCount));
                if (taken > 0) {
                    changes.merge(endpoint, taken, Integer::sum);
                    remainingCount -= taken;
                }
            }
        }
    }

    /**
     * Returns this member's equal share of an endpoint's connections. Connections stay open for a
     * time after their slots were taken by another member; equal shares keep the total below the
     * endpoint's limit.
     */
    private static int connectionShare(EndpointConfig config, ClusterState state) {
        return Math.max(1, config.connectionCount() / state.members().all().size());
    }

    private void giveBack(
            int count,
            SortedMap<EndpointId, EndpointConfig> usable,
            SlotUse use,
            SortedMap<EndpointId, Integer> changes) {
        List<EndpointId> order = new ArrayList<>(usable.keySet());
        order.sort(
                Comparator.comparingInt((EndpointId endpoint) -> use.held(endpoint))
                        .thenComparing(this::preference, (a, b) -> Long.compareUnsigned(b, a)));
        int remaining = count;
        for (EndpointId endpoint : order) {
            int givenBack =
                    Math.min(remaining, use.idle(endpoint) + changes.getOrDefault(endpoint, 0));
            if (givenBack > 0) {
                changes.merge(endpoint, -givenBack, Integer::sum);
                remaining -= givenBack;
            }
        }
    }

    private long preference(EndpointId endpoint) {
        return Hashing.komihash5_0().hashCharsToLong(mOwn.value() + '\n' + endpoint.value());
    }
}
