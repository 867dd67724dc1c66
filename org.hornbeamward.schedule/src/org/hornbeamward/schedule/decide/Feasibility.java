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
 * Finds jobs that can never run. A job is only rejected if nothing could run it for a while, since
 * workers register again after a restart and teams are configured in several steps.
 */
final class Feasibility {
    /** Time for which a job must have been infeasible; above the restart of a worker. */
    static final long HOLD_NANOS = 30_000_000_000L;

    /** A rejection is not repeated before this time. */
    private static final long REPEAT_NANOS = 600_000_000_000L;

    private final Map<JobId, Long> mInfeasibleSinceNanos = new HashMap<>();
    private final Map<JobId, Long> mRejectedNanos = new HashMap<>();

    /** Every capacity seen so far; a lost worker may come back, so its size still counts. */
    private final Set<Resources> mCapacities = new HashSet<>();

    Feasibility() {}

    void beginCall(ClusterState state, long nowNanos) {
        mRejectedNanos.values().removeIf(sinceNanos -> nowNanos - sinceNanos > REPEAT_NANOS);
        mInfeasibleSinceNanos
                .keySet()
                .removeIf(
                        id -> {
                            var job = state.work().jobs().get(id);
                            return job == null || job.ended();
                        });
        for (WorkerStatus worker : state.work().workers().values()) {
            mCapacities.add(worker.registration().capacity());
        }
    }

    /** Returns why a job cannot run at present, or null if it can. */
    @Nullable String obstacle(ClusterState state, JobSpec job) {
        TeamConfig team = state.config().configuration().teams().get(job.team());
        if (team == null) {
            return "team " + job.team() + " is not configured; add team/" + job.team();
        }
        if (!job.resources().fitsIn(team.quota())) {
            return "one task exceeds the quota of team " + job.team() + "; declare less";
        }
        boolean fits =
                mCapacities.isEmpty()
                        || mCapacities.stream().anyMatch(size -> job.resources().fitsIn(size));
        return fits ? null : "no worker is large enough for one task; declare less";
    }

    /** Tells whether the job is to be rejected now; true once. */
    boolean reject(JobId job, long nowNanos) {
        long sinceNanos = mInfeasibleSinceNanos.computeIfAbsent(job, unused -> nowNanos);
        if (nowNanos - sinceNanos < HOLD_NANOS || mRejectedNanos.containsKey(job)) {
            return false;
        }
        mRejectedNanos.put(job, nowNanos);
        return true;
    }

    /** Notes that a job can run. */
    void clear(JobId job) {
        if (!mInfeasibleSinceNanos.isEmpty()) {
            mInfeasibleSinceNanos.remove(job);
        }
    }
}
