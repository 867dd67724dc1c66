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
 * The slots that this member holds and uses. A request acquires a slot before it is sent; a slot
 * that is being given back is locked first, so that it is idle from then on. Safe for use by any
 * thread.
 */
public final class SlotUse {
    private final Map<EndpointId, Counts> mCounts = new HashMap<>();
    private @Nullable ChangeSlots mOutstanding;

    /** Creates the use of a member without slots. */
    public SlotUse() {}

    /**
     * Acquires a slot for one request.
     *
     * @param endpoint the endpoint
     * @return false if every slot held there is used or being given back
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
     * Releases a slot once the endpoint can no longer be working on its request.
     *
     * @param endpoint the endpoint
     * @throws IllegalStateException if no slot is used there
     */
    public synchronized void release(EndpointId endpoint) {
        Counts counts = counts(endpoint);
        if (counts.mUsed < 1) {
            throw new IllegalStateException("no slot of " + endpoint + " is in use");
        }
        counts.mUsed--;
    }

    /**
     * Locks the slots that a command gives back and remembers the command until it was applied.
     *
     * @param planned the command
     * @return the command with give-backs cut to what is idle; append this one, unless it is empty
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
                            int change = delta < 0 ? -lock(endpoint, -delta) : delta;
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

    private int lock(EndpointId endpoint, int count) {
        Counts counts = counts(endpoint);
        int locked = Math.max(0, Math.min(count, counts.idle()));
        counts.mLocked += locked;
        return locked;
    }

    /**
     * Tells whether a command begun here was not yet read back.
     *
     * @return true while it is outstanding
     */
    public synchronized boolean isOutstanding() {
        return mOutstanding != null;
    }

    /**
     * Takes over the slots held after this member's own change was read back.
     *
     * @param slots table right after the command was applied or rejected
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
                            counts.mLocked += Math.min(0, delta);
                            counts.mHeld = slots.held(endpoint, own);
                        });
    }

    /** Forgets every slot held, to be called when this member was removed or has left. */
    public synchronized void lose() {
        mOutstanding = null;
        for (Counts counts : mCounts.values()) {
            counts.mHeld = 0;
            counts.mLocked = 0;
        }
    }

    /**
     * Returns the slots held, with those being given back.
     *
     * @param endpoint the endpoint
     * @return number of slots
     */
    public synchronized int held(EndpointId endpoint) {
        return counts(endpoint).mHeld;
    }

    /**
     * Returns the slots in use.
     *
     * @param endpoint the endpoint
     * @return number of requests that the endpoint may be working on
     */
    public synchronized int used(EndpointId endpoint) {
        return counts(endpoint).mUsed;
    }

    /**
     * Returns the slots that a request could acquire.
     *
     * @param endpoint the endpoint
     * @return number of slots, 0 or more
     */
    public synchronized int idle(EndpointId endpoint) {
        return Math.max(0, counts(endpoint).idle());
    }

    /**
     * Returns the slots in use at all endpoints.
     *
     * @return number of slots
     */
    public synchronized int usedInAll() {
        return mCounts.values().stream().mapToInt(counts -> counts.mUsed).sum();
    }

    private Counts counts(EndpointId endpoint) {
        return mCounts.computeIfAbsent(endpoint, unused -> new Counts());
    }

    private static final class Counts {
        int mHeld;
        int mUsed;
        int mLocked;

        int idle() {
            return mHeld - mLocked - mUsed;
        }
    }
}
