package org.hornbeamward.schedule.decide;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.DomainStatus;

/** Take-outs and returns of failure domains as this decider saw them. */
final class DomainRamp {
    /** A returned failure domain takes its full share after this time. */
    static final long RAMP_NANOS = 60_000_000_000L;

    /** Share of its capacity that a failure domain takes at once when it returns. */
    private static final double FIRST_SHARE = 0.05;

    private record Seen(DomainStatus status, long sinceNanos) {}

    private final ClusterModel mCluster;
    private final Map<FailureDomainId, Seen> mSeen = new HashMap<>();
    private boolean mStarted;

    DomainRamp(ClusterModel cluster) {
        mCluster = cluster;
    }

    void refresh(ClusterState state, long nowNanos) {
        for (Map.Entry<FailureDomainId, DomainStatus> entry :
                state.domains().changed().entrySet()) {
            Seen seen = mSeen.get(entry.getKey());
            if (seen == null || seen.status().version() != entry.getValue().version()) {
                // A decider that starts after a return does not know its time and skips the ramp.
                boolean late = !mStarted && entry.getValue().inService();
                long sinceNanos = late ? nowNanos - RAMP_NANOS : nowNanos;
                mSeen.put(entry.getKey(), new Seen(entry.getValue(), sinceNanos));
            }
        }
        mStarted = true;
    }

    boolean inService(FailureDomainId domain) {
        Seen seen = mSeen.get(domain);
        return seen == null || seen.status().inService();
    }

    /** Returns how long ago the last change of a failure domain was seen. */
    long sinceChangeNanos(FailureDomainId domain, long nowNanos) {
        Seen seen = mSeen.get(domain);
        return seen == null ? Long.MAX_VALUE : nowNanos - seen.sinceNanos();
    }

    /** Tells whether the ramp of a failure domain allows one more task of this size. */
    boolean allows(FailureDomainId domain, Resources need, long nowNanos) {
        Seen seen = mSeen.get(domain);
        if (seen == null) {
            return true;
        }
        if (!seen.status().inService()) {
            return false;
        }
        long sinceNanos = nowNanos - seen.sinceNanos();
        if (sinceNanos >= RAMP_NANOS) {
            return true;
        }
        Resources capacity = mCluster.domainCapacity().getOrDefault(domain, Resources.NONE);
        double share = mCluster.domainCommitted(domain).plus(need).dominantShareOf(capacity);
        return share <= FIRST_SHARE + (double) sinceNanos / RAMP_NANOS;
    }
}
