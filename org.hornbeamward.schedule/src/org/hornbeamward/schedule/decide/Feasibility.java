package org.hornbeamward.schedule.decide;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.config.TeamConfig;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Detects jobs that can never run. A job is rejected only after it has been infeasible for {@link
 * #REJECT_DELAY_NANOS}, because workers register again after a restart and teams are configured in
 * several steps.
 */
final class Feasibility {
    /**
     * Time for which a job must have been infeasible before it is rejected; longer than the restart
     * of a worker.
     */
    static final long REJECT_DELAY_NANOS = 30_000_000_000L;

    /** Minimum time between two rejections of the same job. */
    private static final long REJECT_REPEAT_NANOS = 600_000_000_000L;

    private final Map<JobId, Long> mInfeasibleSinceNanos = new HashMap<>();
    private final Map<JobId, Long> mRejectedNanos = new HashMap<>();

    /**
     * Every worker capacity seen so far. Capacities of lost workers are kept because such a worker
     * may return.
     */
    private final Set<Resources> mKnownCapacities = new HashSet<>();

    Feasibility() {}

    void beginCall(ClusterState state, long nowNanos) {
        mRejectedNanos.values().removeIf(sinceNanos -> nowNanos - sinceNanos > REJECT_REPEAT_NANOS);
        mInfeasibleSinceNanos
                .keySet()
                .removeIf(
                        id -> {
                            var job = state.work().jobs().get(id);
                            return job == null || job.ended();
                        });
        for (WorkerStatus worker : state.work().workers().values()) {
            mKnownCapacities.add(worker.registration().capacity());
        }
    }

    /** Returns why a job cannot run at present, or null if it is feasible. */
    @Nullable String infeasibleReason(ClusterState state, JobSpec job) {
        TeamConfig team = state.config().configuration().teams().get(job.team());
        if (team == null) {
            return "team " + job.team() + " is not configured; add team/" + job.team();
        }
        if (!job.resources().fitsIn(team.quota())) {
            return "one task exceeds the quota of team " + job.team() + "; declare less";
        }
        boolean fits =
                mKnownCapacities.isEmpty()
                        || mKnownCapacities.stream().anyMatch(size -> job.resources().fitsIn(size));
        return fits ? null : "no worker is large enough for one task; declare less";
    }

    /**
     * Returns whether an infeasible job must be rejected now. True only once per {@link
     * #REJECT_REPEAT_NANOS}, because it records the rejection.
     */
    boolean shouldReject(JobId job, long nowNanos) {
        long sinceNanos = mInfeasibleSinceNanos.computeIfAbsent(job, unused -> nowNanos);
        if (nowNanos - sinceNanos < REJECT_DELAY_NANOS || mRejectedNanos.containsKey(job)) {
            return false;
        }
        mRejectedNanos.put(job, nowNanos);
        return true;
    }

    /** Records that a job is feasible. */
    void markFeasible(JobId job) {
        if (!mInfeasibleSinceNanos.isEmpty()) {
            mInfeasibleSinceNanos.remove(job);
        }
    }
}
