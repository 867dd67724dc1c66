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
 * Which member holds how many slots of each endpoint. Slots of a removed member stay unusable until
 * a taker states that it has waited for that removal's requests. Confined to the thread that
 * applies the log.
 */
public final class SlotTable {
    final SortedMap<EndpointId, SortedMap<InstanceId, Integer>> mHeld = new TreeMap<>();
    final SortedMap<EndpointId, SortedMap<Long, Integer>> mReleasedByRemoval = new TreeMap<>();

    SlotTable() {}

    /**
     * Returns the slots that a member holds of an endpoint.
     *
     * @param endpoint the endpoint
     * @param instance the member
     * @return number of slots, 0 or more
     */
    public int held(EndpointId endpoint, InstanceId instance) {
        return mHeld.getOrDefault(endpoint, Collections.emptySortedMap()).getOrDefault(instance, 0);
    }

    /**
     * Returns the holders of an endpoint's slots.
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
     * Returns the slots that can be taken.
     *
     * @param endpoint the endpoint
     * @param slotCount its slots in all
     * @param waitedToken newest removal that the taker has waited for
     * @return number of slots, 0 or more
     */
    public int free(EndpointId endpoint, int slotCount, long waitedToken) {
        int used = sum(mHeld.getOrDefault(endpoint, Collections.emptySortedMap()).values());
        SortedMap<Long, Integer> released =
                mReleasedByRemoval.getOrDefault(endpoint, Collections.emptySortedMap());
        int unusable = 0;
        for (Map.Entry<Long, Integer> entry : released.entrySet()) {
            unusable += entry.getKey() > waitedToken ? entry.getValue() : 0;
        }
        return Math.max(0, slotCount - used - unusable);
    }

    /**
     * Returns the newest removal of which slots are still waiting.
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
            forgetReleased(endpoint, taken - unclaimed(endpoint, slotCount), change.waitedToken());
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

    /** Slots that are neither held nor released by a removal. */
    private int unclaimed(EndpointId endpoint, int slotCount) {
        return free(endpoint, slotCount, 0);
    }

    /**
     * Drops the oldest releases that a taker got, among those that it has waited for. A release is
     * never dropped without a take: its requests may run on although the slot count was lowered or
     * the endpoint left the configuration for a time.
     */
    private void forgetReleased(EndpointId endpoint, int takenCount, long waitedToken) {
        SortedMap<Long, Integer> released = mReleasedByRemoval.get(endpoint);
        if (released == null) {
            return;
        }
        int rest = takenCount;
        while (rest > 0 && !released.isEmpty() && released.firstKey() <= waitedToken) {
            Long oldest = released.firstKey();
            int count = released.getOrDefault(oldest, 0);
            int dropped = Math.min(count, rest);
            rest -= dropped;
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
