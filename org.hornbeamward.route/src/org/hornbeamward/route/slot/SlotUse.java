package org.hornbeamward.route.slot;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.SlotTable;
import org.jspecify.annotations.Nullable;

/**
 * Counts the slots that this member holds and uses. A request acquires a slot before it is sent. A
 * slot to be given back is reserved first, so that no request can acquire it from then on.
 * Thread-safe.
 */
public final class SlotUse {
    private final Map<EndpointId, Counts> mCounts = new HashMap<>();
    private @Nullable ChangeSlots mOutstanding;

    /** Creates the counts of a member without slots. */
    public SlotUse() {}

    /**
     * Acquires a slot for one request.
     *
     * @param endpoint endpoint that the request is to be sent to
     * @return false if every slot held there is in use or being given back
     */
    public synchronized boolean tryAcquire(EndpointId endpoint) {
        Counts counts = counts(endpoint);
        if (counts.idle() < 1) {
            return false;
        }
        counts.mUsed++;
        return true;
    }

    /**
     * Releases a slot. To be called once the endpoint can no longer be processing its request.
     *
     * @param endpoint endpoint that the request was sent to
     * @throws IllegalStateException if no slot is in use there
     */
    public synchronized void release(EndpointId endpoint) {
        Counts counts = counts(endpoint);
        if (counts.mUsed < 1) {
            throw new IllegalStateException("no slot of " + endpoint + " is in use");
        }
        counts.mUsed--;
    }

    /**
     * Reserves the slots that a command gives back and stores the command until it is read back
     * from the log.
     *
     * @param planned the planned command
     * @return the command that gives back no more than the idle slots; to be appended instead of
     *     the planned one, unless it is empty
     * @throws IllegalStateException if another command is outstanding
     */
    public synchronized ChangeSlots begin(ChangeSlots planned) {
        if (mOutstanding != null) {
            throw new IllegalStateException("a slot change is outstanding; wait for its result");
        }
        SortedMap<EndpointId, Integer> changes = new TreeMap<>();
        planned.changes()
                .forEach(
                        (endpoint, delta) -> {
                            int change = delta < 0 ? -reserve(endpoint, -delta) : delta;
                            if (change != 0) {
                                changes.put(endpoint, change);
                            }
                        });
        ChangeSlots command = new ChangeSlots(changes, planned.waitedToken());
        if (!changes.isEmpty()) {
            mOutstanding = command;
        }
        return command;
    }

    private int reserve(EndpointId endpoint, int count) {
        Counts counts = counts(endpoint);
        int reserved = Math.max(0, Math.min(count, counts.idle()));
        counts.mReserved += reserved;
        return reserved;
    }

    /**
     * Tells whether a command is outstanding, that is, was begun and not yet read back from the
     * log.
     *
     * @return true while a command is outstanding
     */
    public synchronized boolean isOutstanding() {
        return mOutstanding != null;
    }

    /**
     * Updates the slots held after this member's own command was read back from the log.
     *
     * @param slots slot table immediately after the command was applied or rejected
     * @param own this member
     */
    public synchronized void applied(SlotTable slots, InstanceId own) {
        ChangeSlots command = mOutstanding;
        if (command == null) {
            return;
        }
        mOutstanding = null;
        command.changes()
                .forEach(
                        (endpoint, delta) -> {
                            Counts counts = counts(endpoint);
                            counts.mReserved += Math.min(0, delta);
                            counts.mHeld = slots.held(endpoint, own);
                        });
    }

    /** Sets the slots held to 0. To be called when this member was removed or has left. */
    public synchronized void clearHeld() {
        mOutstanding = null;
        for (Counts counts : mCounts.values()) {
            counts.mHeld = 0;
            counts.mReserved = 0;
        }
    }

    /**
     * Returns the number of slots held, including those being given back.
     *
     * @param endpoint endpoint whose slots are counted
     * @return number of slots
     */
    public synchronized int held(EndpointId endpoint) {
        return counts(endpoint).mHeld;
    }

    /**
     * Returns the number of slots in use.
     *
     * @param endpoint endpoint whose slots are counted
     * @return number of requests that the endpoint may be processing
     */
    public synchronized int used(EndpointId endpoint) {
        return counts(endpoint).mUsed;
    }

    /**
     * Returns the number of slots that a request could acquire.
     *
     * @param endpoint endpoint whose slots are counted
     * @return number of slots, 0 or more
     */
    public synchronized int idle(EndpointId endpoint) {
        return Math.max(0, counts(endpoint).idle());
    }

    /**
     * Returns the total number of slots in use at all endpoints.
     *
     * @return number of slots
     */
    public synchronized int totalUsed() {
        return mCounts.values().stream().mapToInt(counts -> counts.mUsed).sum();
    }

    private Counts counts(EndpointId endpoint) {
        return mCounts.computeIfAbsent(endpoint, unused -> new Counts());
    }

    private static final class Counts {
        int mHeld;
        int mUsed;
        int mReserved;

        int idle() {
            return mHeld - mReserved - mUsed;
        }
    }
}
