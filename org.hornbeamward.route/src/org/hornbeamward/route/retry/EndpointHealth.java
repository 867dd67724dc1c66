package org.hornbeamward.route.retry;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.EndpointId;

/**
 * Ejects endpoints after consecutive failures for a time that doubles with each ejection. At most a
 * third of the endpoints that this member can use are ejected at once, since failures of more than
 * that have a common cause that ejection would make worse. A failing endpoint beyond the third is
 * avoided instead: it is used when no other has a free slot. When the time is over, one request at
 * a time probes the endpoint until one succeeds. Safe for use by any thread.
 */
public final class EndpointHealth {
    private static final long FIRST_NANOS = 1_000_000_000L;

    /** Time between probes while none has been answered. */
    private static final long PROBE_NANOS = 1_000_000_000L;

    private static final int MAX_DOUBLINGS = 5;
    private static final int EJECTABLE_DIVISOR = 3;

    private final int mEjectAfterCount;
    private final Map<EndpointId, Health> mHealth = new HashMap<>();

    /**
     * Creates the health of endpoints without failures.
     *
     * @param ejectAfterCount consecutive failures that eject an endpoint
     */
    public EndpointHealth(int ejectAfterCount) {
        mEjectAfterCount = ejectAfterCount;
    }

    /**
     * Notes an answer that is no failure.
     *
     * @param endpoint the endpoint
     */
    public synchronized void succeeded(EndpointId endpoint) {
        Health health = mHealth.remove(endpoint);
        if (health != null && health.mEjectionCount > 0) {
            LogEvent.ENDPOINT_RESTORED.log(endpoint);
        }
    }

    /**
     * Notes a connection failure, a 5xx answer or a timeout of one attempt.
     *
     * @param endpoint the endpoint
     * @param knownCount endpoints that this member could use
     * @param nowNanos monotonic time
     */
    public synchronized void failed(EndpointId endpoint, int knownCount, long nowNanos) {
        Health health = mHealth.computeIfAbsent(endpoint, unused -> new Health());
        health.mFailureCount++;
        boolean waits = health.isWaiting(nowNanos) && !health.mProbing;
        if (health.mFailureCount < mEjectAfterCount || waits) {
            return;
        }
        long ejected =
                mHealth.values().stream()
                        .filter(one -> one != health && one.isEjected(nowNanos))
                        .count();
        health.mEjected = (ejected + 1) * EJECTABLE_DIVISOR <= knownCount;
        if (health.mEjectionCount == 0) {
            LogEvent.ENDPOINT_EJECTED.log(endpoint, health.mFailureCount);
        }
        int doublings = Math.min(health.mEjectionCount++, MAX_DOUBLINGS);
        health.mProbing = false;
        health.mUntilNanos = nowNanos + (FIRST_NANOS << doublings);
    }

    /**
     * Tells whether an endpoint gets no requests. After the time is over it gets requests again,
     * and its next failure ejects it for longer.
     *
     * @param endpoint the endpoint
     * @param nowNanos monotonic time
     * @return true while it is ejected
     */
    public synchronized boolean isEjected(EndpointId endpoint, long nowNanos) {
        Health health = mHealth.get(endpoint);
        return health != null && health.isEjected(nowNanos);
    }

    /**
     * Tells whether an endpoint should get no request while another has a free slot.
     *
     * @param endpoint the endpoint
     * @param nowNanos monotonic time
     * @return true while it is ejected, avoided or probed
     */
    public synchronized boolean isAvoided(EndpointId endpoint, long nowNanos) {
        Health health = mHealth.get(endpoint);
        return health != null && health.isWaiting(nowNanos);
    }

    /**
     * Notes that a request is sent. The first one after the time is over is the probe.
     *
     * @param endpoint the endpoint
     * @param nowNanos monotonic time
     */
    public synchronized void sent(EndpointId endpoint, long nowNanos) {
        Health health = mHealth.get(endpoint);
        if (health != null && health.mEjectionCount > 0 && !health.isWaiting(nowNanos)) {
            health.mProbing = true;
            health.mUntilNanos = nowNanos + PROBE_NANOS;
        }
    }

    private static final class Health {
        int mFailureCount;
        int mEjectionCount;
        boolean mEjected;
        boolean mProbing;
        long mUntilNanos;

        boolean isEjected(long nowNanos) {
            return mEjected && isWaiting(nowNanos);
        }

        boolean isWaiting(long nowNanos) {
            return mEjectionCount > 0 && nowNanos - mUntilNanos < 0;
        }
    }
}
