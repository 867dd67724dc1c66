package org.hornbeamward.schedule.decide;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.DomainStatus;

/**
 * Tracks when failure domains were taken out or returned, as observed by this decider, and limits
 * how fast a returned failure domain takes load.
 */
final class DomainRamp {
    /** Time after its return at which a failure domain may take its full load. */
    static final long RAMP_NANOS = 60_000_000_000L;

    /** Share of its capacity that a failure domain takes immediately on its return. */
    private static final double INITIAL_SHARE = 0.05;

    private record ObservedStatus(DomainStatus status, long sinceNanos) {}

    private final ClusterModel mCluster;
    private final Map<FailureDomainId, ObservedStatus> mObserved = new HashMap<>();
    private boolean mInitialized;

    DomainRamp(ClusterModel cluster) {
        mCluster = cluster;
    }

    void refresh(ClusterState state, long nowNanos) {
        for (Map.Entry<FailureDomainId, DomainStatus> entry :
                state.domains().changedDomains().entrySet()) {
            ObservedStatus observed = mObserved.get(entry.getKey());
            if (observed == null || observed.status().version() != entry.getValue().version()) {
                // A decider started after a return does not know its time and skips the ramp.
                boolean skipRamp = !mInitialized && entry.getValue().inService();
                long sinceNanos = skipRamp ? nowNanos - RAMP_NANOS : nowNanos;
                mObserved.put(entry.getKey(), new ObservedStatus(entry.getValue(), sinceNanos));
            }
        }
        mInitialized = true;
    }

    boolean inService(FailureDomainId domain) {
        ObservedStatus observed = mObserved.get(domain);
        return observed == null || observed.status().inService();
    }

    /** Returns the time since the last change of a failure domain was observed. */
    long sinceChangeNanos(FailureDomainId domain, long nowNanos) {
        ObservedStatus observed = mObserved.get(domain);
        return observed == null ? Long.MAX_VALUE : nowNanos - observed.sinceNanos();
    }

    /** Returns whether the ramp of a failure domain allows another task of this size. */
    boolean allows(FailureDomainId domain, Resources need, long nowNanos) {
        ObservedStatus observed = mObserved.get(domain);
        if (observed == null) {
            return true;
        }
        if (!observed.status().inService()) {
            return false;
        }
        long sinceNanos = nowNanos - observed.sinceNanos();
        if (sinceNanos >= RAMP_NANOS) {
            return true;
        }
        Resources capacity = mCluster.domainCapacity().getOrDefault(domain, Resources.NONE);
        double share = mCluster.domainCommitted(domain).plus(need).dominantShareOf(capacity);
        return share <= INITIAL_SHARE + (double) sinceNanos / RAMP_NANOS;
    }
}
