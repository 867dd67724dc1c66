package org.hornbeamward.state;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.config.EndpointConfig;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;

/**
 * The number of slots that each member holds of each endpoint. The slots of a removed member cannot
 * be taken until the member that takes them states that it has waited for the removed member's
 * requests to end. Confined to the thread that applies the log.
 */
public final class SlotTable {
    final SortedMap<EndpointId, SortedMap<InstanceId, Integer>> mHeld = new TreeMap<>();
    final SortedMap<EndpointId, SortedMap<Long, Integer>> mReleasedByRemoval = new TreeMap<>();

    SlotTable() {}

    /**
     * Returns how many slots of an endpoint a member holds.
     *
     * @param endpoint the endpoint
     * @param instance the member
     * @return number of slots, 0 or more
     */
    public int held(EndpointId endpoint, InstanceId instance) {
        return mHeld.getOrDefault(endpoint, Collections.emptySortedMap()).getOrDefault(instance, 0);
    }

    /**
     * Returns the members that hold slots of an endpoint.
     *
     * @param endpoint the endpoint
     * @return unmodifiable map from member to number of slots, above 0
     */
    public SortedMap<InstanceId, Integer> holders(EndpointId endpoint) {
        return Collections.unmodifiableSortedMap(
                mHeld.getOrDefault(endpoint, Collections.emptySortedMap()));
    }

    /**
     * Returns the endpoints of which a member holds slots.
     *
     * @param instance the member
     * @return the endpoints in order
     */
    public List<EndpointId> endpointsOf(InstanceId instance) {
        return mHeld.keySet().stream().filter(endpoint -> held(endpoint, instance) > 0).toList();
    }

    /**
     * Returns how many slots of an endpoint can be taken.
     *
     * @param endpoint the endpoint
     * @param slotCount total number of its slots
     * @param waitedToken token of the newest removal for which the taking member has waited until
     *     the removed member's requests have ended
     * @return number of slots, 0 or more
     */
    public int free(EndpointId endpoint, int slotCount, long waitedToken) {
        int used = sum(mHeld.getOrDefault(endpoint, Collections.emptySortedMap()).values());
        SortedMap<Long, Integer> released =
                mReleasedByRemoval.getOrDefault(endpoint, Collections.emptySortedMap());
        int unavailable = 0;
        for (Map.Entry<Long, Integer> entry : released.entrySet()) {
            unavailable += entry.getKey() > waitedToken ? entry.getValue() : 0;
        }
        return Math.max(0, slotCount - used - unavailable);
    }

    /**
     * Returns the newest removal whose slots have not all been taken again.
     *
     * @return its token, 0 if there is none
     */
    public long newestRemovalToken() {
        return mReleasedByRemoval.values().stream()
                .mapToLong(released -> released.lastKey())
                .max()
                .orElse(0);
    }

    void change(InstanceId author, ChangeSlots change, Configuration configuration) {
        for (Map.Entry<EndpointId, Integer> entry : change.changes().entrySet()) {
            EndpointId endpoint = entry.getKey();
            int delta = entry.getValue();
            if (delta < 0) {
                addHeld(endpoint, author, Math.max(delta, -held(endpoint, author)));
                continue;
            }
            EndpointConfig config = configuration.endpoints().get(endpoint);
            int slotCount = config == null ? 0 : config.slotCount();
            int taken = Math.min(delta, free(endpoint, slotCount, change.waitedToken()));
            dropReleased(endpoint, taken - unallocated(endpoint, slotCount), change.waitedToken());
            addHeld(endpoint, author, taken);
        }
    }

    void removeMember(InstanceId instance, long removalToken) {
        for (Map.Entry<EndpointId, SortedMap<InstanceId, Integer>> entry : mHeld.entrySet()) {
            Integer count = entry.getValue().remove(instance);
            if (count != null) {
                mReleasedByRemoval
                        .computeIfAbsent(entry.getKey(), endpoint -> new TreeMap<>())
                        .merge(removalToken, count, Integer::sum);
            }
        }
    }

    private void addHeld(EndpointId endpoint, InstanceId instance, int delta) {
        if (delta == 0) {
            return;
        }
        SortedMap<InstanceId, Integer> holders =
                mHeld.computeIfAbsent(endpoint, unused -> new TreeMap<>());
        int count = holders.getOrDefault(instance, 0) + delta;
        if (count == 0) {
            holders.remove(instance);
        } else {
            holders.put(instance, count);
        }
    }

    /** Returns the number of slots that are neither held nor released by a removal. */
    private int unallocated(EndpointId endpoint, int slotCount) {
        return free(endpoint, slotCount, 0);
    }

    /**
     * Drops the released slots that a member has taken, oldest removal first, among the removals
     * that it has waited for. Released slots are dropped only when they are taken: requests of the
     * removed member may still be running even if the slot count was lowered or the endpoint was
     * temporarily absent from the configuration.
     */
    private void dropReleased(EndpointId endpoint, int takenCount, long waitedToken) {
        SortedMap<Long, Integer> released = mReleasedByRemoval.get(endpoint);
        if (released == null) {
            return;
        }
        int remaining = takenCount;
        while (remaining > 0 && !released.isEmpty() && released.firstKey() <= waitedToken) {
            Long oldest = released.firstKey();
            int count = released.getOrDefault(oldest, 0);
            int dropped = Math.min(count, remaining);
            remaining -= dropped;
            if (dropped == count) {
                released.remove(oldest);
            } else {
                released.put(oldest, count - dropped);
            }
        }
        if (released.isEmpty()) {
            mReleasedByRemoval.remove(endpoint);
        }
    }

    private static int sum(Iterable<Integer> counts) {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
