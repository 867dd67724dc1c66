package org.hornbeamward.schedule.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.ToDoubleFunction;
import org.hornbeamward.config.TeamConfig;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.state.ClusterState;
import org.jspecify.annotations.Nullable;

/**
 * One pass over the pending jobs by weighted dominant resource fairness: tier by tier, and within a
 * tier always the team with the smallest dominant share of its quota divided by its weight, oldest
 * job first.
 */
final class FairSharePass {
    /** Result of one attempt to place a task. */
    enum Outcome {
        /** A placement was decided. */
        PLACED,
        /**
         * No worker has enough free capacity. The job's other tasks need the same and are not tried
         * either.
         */
        NO_CAPACITY,
        /**
         * Capacity is being freed on a worker reserved for this task; the job's next task may be
         * tried.
         */
        RESERVED,
        /** No further decisions are possible in this call. */
        LIMIT_REACHED
    }

    /**
     * Number of jobs of one team and tier without capacity after which the team is skipped; also
     * the number of jobs compared by preference.
     */
    private static final int MAX_FAILURES_PER_TEAM = 16;

    private static final class TeamQueue {
        final TeamId mTeam;
        final TeamConfig mConfig;
        final Deque<PendingJob> mJobs = new ArrayDeque<>();
        int mFailureCount;
        double mShare;

        TeamQueue(TeamId team, TeamConfig config) {
            mTeam = team;
            mConfig = config;
        }
    }

    private final ClusterState mState;
    private final InFlightDecisions mInFlight;
    private final BiFunction<PendingJob, TaskId, Outcome> mTryPlace;
    private final ToDoubleFunction<PendingJob> mPreference;

    FairSharePass(
            ClusterState state,
            InFlightDecisions inFlight,
            BiFunction<PendingJob, TaskId, Outcome> tryPlace,
            ToDoubleFunction<PendingJob> preference) {
        mState = state;
        mInFlight = inFlight;
        mTryPlace = tryPlace;
        mPreference = preference;
    }

    void run(List<PendingJob> jobs) {
        Map<PendingJob.Tier, List<PendingJob>> tiers = new TreeMap<>();
        for (PendingJob job : jobs) {
            tiers.computeIfAbsent(job.mTier, unused -> new ArrayList<>()).add(job);
        }
        for (List<PendingJob> tier : tiers.values()) {
            if (!runTier(tier)) {
                return;
            }
        }
    }

    private boolean runTier(List<PendingJob> jobs) {
        Map<TeamId, TeamQueue> teams = new HashMap<>();
        for (PendingJob job : jobs) {
            TeamId team = job.spec().team();
            TeamConfig config = mState.config().configuration().teams().get(team);
            if (config != null) {
                teams.computeIfAbsent(team, id -> new TeamQueue(id, config)).mJobs.add(job);
            }
        }
        PriorityQueue<TeamQueue> teamQueues =
                new PriorityQueue<>(
                        Comparator.comparingDouble((TeamQueue queue) -> queue.mShare)
                                .thenComparing(queue -> oldestToken(queue))
                                .thenComparing(queue -> queue.mTeam));
        for (TeamQueue queue : teams.values()) {
            updateShare(queue);
            teamQueues.add(queue);
        }
        while (!teamQueues.isEmpty()) {
            TeamQueue queue = teamQueues.remove();
            if (!tryNextTask(queue)) {
                return false;
            }
            if (!queue.mJobs.isEmpty() && queue.mFailureCount < MAX_FAILURES_PER_TEAM) {
                updateShare(queue);
                teamQueues.add(queue);
            }
        }
        return true;
    }

    private static long oldestToken(TeamQueue queue) {
        PendingJob head = queue.mJobs.peek();
        return head == null ? Long.MAX_VALUE : head.mJob.submitToken();
    }

    private void updateShare(TeamQueue queue) {
        queue.mShare =
                usedResources(queue.mTeam).dominantShareOf(queue.mConfig.quota())
                        / queue.mConfig.weight();
    }

    private Resources usedResources(TeamId team) {
        return mState.work().usedBy(team).plus(mInFlight.usedBy(team));
    }

    /** Returns the oldest job, or for batch work the preferred one among the oldest that fit. */
    private @Nullable PendingJob selectJob(TeamQueue queue) {
        queue.mJobs.removeIf(job -> job.head() == null);
        PendingJob oldest = queue.mJobs.peek();
        if (oldest == null || oldest.mTier != PendingJob.Tier.BATCH) {
            return oldest;
        }
        PendingJob best = oldest;
        double bestPreference = Double.NEGATIVE_INFINITY;
        int ratedCount = 0;
        for (PendingJob job : queue.mJobs) {
            if (ratedCount++ >= MAX_FAILURES_PER_TEAM) {
                break;
            }
            double jobPreference = mPreference.applyAsDouble(job);
            if (jobPreference > bestPreference) {
                best = job;
                bestPreference = jobPreference;
            }
        }
        if (bestPreference == Double.NEGATIVE_INFINITY) {
            // No job fits, so only the oldest is tried, in order to reserve a worker for it.
            queue.mJobs.clear();
            queue.mJobs.add(oldest);
        }
        return best;
    }

    /**
     * Tries one task of a team; returns false if no further decisions are possible in this call.
     */
    private boolean tryNextTask(TeamQueue queue) {
        PendingJob job = selectJob(queue);
        TaskId task = job == null ? null : job.head();
        if (job == null || task == null) {
            queue.mJobs.clear();
            return true;
        }
        Resources after = usedResources(queue.mTeam).plus(job.spec().resources());
        if (!after.fitsIn(queue.mConfig.quota())) {
            queue.mJobs.remove(job);
            return true;
        }
        switch (mTryPlace.apply(job, task)) {
            case PLACED, RESERVED -> job.advance();
            case NO_CAPACITY -> {
                queue.mJobs.remove(job);
                queue.mFailureCount++;
            }
            case LIMIT_REACHED -> {
                return false;
            }
        }
        return true;
    }
}
