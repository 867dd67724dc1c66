package org.hornbeamward.route.retry;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.EndpointId;

/**
 * Ejects endpoints after consecutive failures, for a backoff time that doubles with each ejection.
 * At most a third of the endpoints that this member can use are ejected at once: if more fail, the
 * cause is common to them, and ejection would make the outage worse. A failing endpoint beyond that
 * third is avoided instead, that is, used only when no other has a free slot. After the backoff
 * time, one request at a time probes the endpoint until one succeeds. Thread-safe.
 */
public final class EndpointHealth {
    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;

    /** Time after a probe without a response until the next one. */
    private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

    private static final int MAX_DOUBLING_COUNT = 5;
    private static final int EJECTABLE_DIVISOR = 3;

    private final int mEjectAfterCount;
    private final Map<EndpointId, Health> mHealth = new HashMap<>();

    /**
     * Creates a tracker in which no endpoint has failed.
     *
     * @param ejectAfterCount number of consecutive failures after which an endpoint is ejected
     */
    public EndpointHealth(int ejectAfterCount) {
        mEjectAfterCount = ejectAfterCount;
    }

    /**
     * Records a response that is not a failure.
     *
     * @param endpoint endpoint that responded
     */
    public synchronized void onSuccess(EndpointId endpoint) {
        Health health = mHealth.remove(endpoint);
        if (health != null && health.mEjectionCount > 0) {
            LogEvent.ENDPOINT_RESTORED.log(endpoint);
        }
    }

    /**
     * Records a connection failure, a 5xx response or a timeout of an attempt.
     *
     * @param endpoint endpoint that failed
     * @param usableCount number of endpoints that this member can use
     * @param nowNanos monotonic time
     */
    public synchronized void onFailure(EndpointId endpoint, int usableCount, long nowNanos) {
        Health health = mHealth.computeIfAbsent(endpoint, unused -> new Health());
        health.mFailureCount++;
        boolean inBackoff = health.isInBackoff(nowNanos) && !health.mProbing;
        if (health.mFailureCount < mEjectAfterCount || inBackoff) {
            return;
        }
        long ejectedCount =
                mHealth.values().stream()
                        .filter(other -> other != health && other.isEjected(nowNanos))
                        .count();
        health.mEjected = (ejectedCount + 1) * EJECTABLE_DIVISOR <= usableCount;
        if (health.mEjectionCount == 0) {
            LogEvent.ENDPOINT_EJECTED.log(endpoint, health.mFailureCount);
        }
        int doublings = Math.min(health.mEjectionCount++, MAX_DOUBLING_COUNT);
        health.mProbing = false;
        health.mBackoffEndNanos = nowNanos + (FIRST_EJECTION_NANOS << doublings);
    }

    /**
     * Tells whether an endpoint gets no requests. After the backoff time it gets requests again,
     * and its next failure ejects it for a longer time.
     *
     * @param endpoint endpoint to check
     * @param nowNanos monotonic time
     * @return true while it is ejected
     */
    public synchronized boolean isEjected(EndpointId endpoint, long nowNanos) {
        Health health = mHealth.get(endpoint);
        return health != null && health.isEjected(nowNanos);
    }

    /**
     * Tells whether an endpoint gets no requests while another one has a free slot.
     *
     * @param endpoint endpoint to check
     * @param nowNanos monotonic time
     * @return true while it is ejected, avoided or being probed
     */
    public synchronized boolean isAvoided(EndpointId endpoint, long nowNanos) {
        Health health = mHealth.get(endpoint);
        return health != null && health.isInBackoff(nowNanos);
    }

    /**
     * Records that a request is sent. The first one after the backoff time is the probe.
     *
     * @param endpoint endpoint that the request is sent to
     * @param nowNanos monotonic time
     */
    public synchronized void onSent(EndpointId endpoint, long nowNanos) {
        Health health = mHealth.get(endpoint);
        if (health != null && health.mEjectionCount > 0 && !health.isInBackoff(nowNanos)) {
            health.mProbing = true;
            health.mBackoffEndNanos = nowNanos + PROBE_INTERVAL_NANOS;
        }
    }

    private static final class Health {
        int mFailureCount;
        int mEjectionCount;
        boolean mEjected;
        boolean mProbing;
        long mBackoffEndNanos;

        boolean isEjected(long nowNanos) {
            return mEjected && isInBackoff(nowNanos);
        }

        boolean isInBackoff(long nowNanos) {
            return mEjectionCount > 0 && nowNanos - mBackoffEndNanos < 0;
        }
    }
}
