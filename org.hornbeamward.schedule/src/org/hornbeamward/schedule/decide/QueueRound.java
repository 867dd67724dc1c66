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
 * One pass over the pending jobs in queue order: tier by tier, and within a tier always the team
 * with the smallest dominant share of its quota over its weight, and its oldest job first.
 */
final class QueueRound {
    /** What became of one try to place a task. */
    enum Outcome {
        /** A placement was decided. */
        PLACED,
        /** The job has no room now; its other tasks are equal and are not tried either. */
        NO_ROOM,
        /** This task waits for room made for it; the job's next task may be tried. */
        WAITS,
        /** No further decisions in this call. */
        FULL
    }

    /** Jobs of one team and tier without room, after which the team is passed over. */
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
    private final BiFunction<PendingJob, TaskId, Outcome> mPlace;
    private final ToDoubleFunction<PendingJob> mPreference;

    QueueRound(
            ClusterState state,
            InFlightDecisions inFlight,
            BiFunction<PendingJob, TaskId, Outcome> place,
            ToDoubleFunction<PendingJob> preference) {
        mState = state;
        mInFlight = inFlight;
        mPlace = place;
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
        PriorityQueue<TeamQueue> order =
                new PriorityQueue<>(
                        Comparator.comparingDouble((TeamQueue queue) -> queue.mShare)
                                .thenComparing(queue -> oldestToken(queue))
                                .thenComparing(queue -> queue.mTeam));
        for (TeamQueue queue : teams.values()) {
            updateShare(queue);
            order.add(queue);
        }
        while (!order.isEmpty()) {
            TeamQueue queue = order.remove();
            if (!step(queue)) {
                return false;
            }
            if (!queue.mJobs.isEmpty() && queue.mFailureCount < MAX_FAILURES_PER_TEAM) {
                updateShare(queue);
                order.add(queue);
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
                used(queue.mTeam).dominantShareOf(queue.mConfig.quota()) / queue.mConfig.weight();
    }

    private Resources used(TeamId team) {
        return mState.work().usedBy(team).plus(mInFlight.usedBy(team));
    }

    /** Picks the oldest job, or for batch work the preferred one among the oldest with room. */
    private @Nullable PendingJob choose(TeamQueue queue) {
        queue.mJobs.removeIf(job -> job.head() == null);
        PendingJob oldest = queue.mJobs.peek();
        if (oldest == null || oldest.mTier != PendingJob.Tier.BATCH) {
            return oldest;
        }
        PendingJob best = oldest;
        double bestRate = Double.NEGATIVE_INFINITY;
        int compared = 0;
        for (PendingJob job : queue.mJobs) {
            if (compared++ >= MAX_FAILURES_PER_TEAM) {
                break;
            }
            double rate = mPreference.applyAsDouble(job);
            if (rate > bestRate) {
                best = job;
                bestRate = rate;
            }
        }
        if (bestRate == Double.NEGATIVE_INFINITY) {
            // None has room, so the oldest is tried for a reservation and the others are not.
            queue.mJobs.clear();
            queue.mJobs.add(oldest);
        }
        return best;
    }

    /** Tries the head of a team's queue; returns false if the call has decided enough. */
    private boolean step(TeamQueue queue) {
        PendingJob job = choose(queue);
        TaskId task = job == null ? null : job.head();
        if (job == null || task == null) {
            queue.mJobs.clear();
            return true;
        }
        Resources after = used(queue.mTeam).plus(job.spec().resources());
        if (!after.fitsIn(queue.mConfig.quota())) {
            queue.mJobs.remove(job);
            return true;
        }
        switch (mPlace.apply(job, task)) {
            case PLACED, WAITS -> job.advance();
            case NO_ROOM -> {
                queue.mJobs.remove(job);
                queue.mFailureCount++;
            }
            case FULL -> {
                return false;
            }
        }
        return true;
    }
}
