package org.hornbeamward.route.retry;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.EndpointId;

/**
 * Ejects endpoints after consecutive failures for a time that doubles with each ejection. At most a
 * third of the endpoints that this member can use are ejected at once, since failures of more than
 * that have a common cause that ejection would make worse. Safe for use by any thread.
 */
public final class EndpointHealth {
    private static final long FIRST_NANOS = 1_000_000_000L;
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
        if (health.mFailureCount < mEjectAfterCount || health.isEjected(nowNanos)) {
            return;
        }
        long ejected = mHealth.values().stream().filter(one -> one.isEjected(nowNanos)).count();
        if ((ejected + 1) * EJECTABLE_DIVISOR > knownCount) {
            return;
        }
        if (health.mEjectionCount == 0) {
            LogEvent.ENDPOINT_EJECTED.log(endpoint, health.mFailureCount);
        }
        int doublings = Math.min(health.mEjectionCount++, MAX_DOUBLINGS);
        health.mEjected = true;
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

    private static final class Health {
        int mFailureCount;
        int mEjectionCount;
        boolean mEjected;
        long mUntilNanos;

        boolean isEjected(long nowNanos) {
            return mEjected && nowNanos - mUntilNanos < 0;
        }
    }
}
