package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.RendezvousHash;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.JobStatus;

/**
 * The jobs with pending tasks and their waiting times. Deciders of all regions see the same jobs;
 * rendezvous hashing selects the region that tries a job first.
 */
final class PendingQueue {
    /**
     * Waiting time after which the other regions also try a job; well below the bound of 2.3 s for
     * urgent jobs.
     */
    private static final long OTHER_REGION_DELAY_NANOS = 500_000_000L;

    private final Map<JobId, Long> mWaitingSinceNanos = new HashMap<>();
    private final Map<JobId, Long> mFirstTriedNanos = new HashMap<>();
    private Set<RegionId> mOwnRegions = Set.of();

    PendingQueue() {}

    void setOwnRegions(Set<RegionId> regions) {
        mOwnRegions = Set.copyOf(regions);
    }

    /** Restarts the waiting time of a job because one of its tasks was placed. */
    void onTaskPlaced(JobId job, long nowNanos) {
        mWaitingSinceNanos.replace(job, nowNanos);
    }

    /** Returns when a job was first tried; the current time if this is the first attempt. */
    long firstTriedNanos(JobId job, long nowNanos) {
        return mFirstTriedNanos.computeIfAbsent(job, unused -> nowNanos);
    }

    /**
     * Returns the jobs with pending tasks, ordered by tier and age. The cost is proportional to the
     * number of jobs, not of tasks.
     */
    List<PendingJob> jobs(ClusterState state, InFlightDecisions inFlight, long nowNanos) {
        SortedSet<InstanceId> regions = regions(state);
        SortedSet<TaskId> remaining = state.work().pending();
        List<PendingJob> jobs = new ArrayList<>();
        Set<JobId> pendingIds = new HashSet<>();
        while (!remaining.isEmpty()) {
            JobId id = remaining.first().job();
            remaining = remaining.tailSet(new TaskId(id, Integer.MAX_VALUE));
            pendingIds.add(id);
            long waitingSinceNanos = mWaitingSinceNanos.computeIfAbsent(id, unused -> nowNanos);
            JobStatus job = state.work().jobs().get(id);
            if (job != null && isEligible(id, regions, nowNanos - waitingSinceNanos)) {
                jobs.add(new PendingJob(state, job, waitingSinceNanos, inFlight));
            }
        }
        mWaitingSinceNanos.keySet().retainAll(pendingIds);
        mFirstTriedNanos.keySet().retainAll(pendingIds);
        jobs.sort(
                Comparator.comparing((PendingJob job) -> job.mTier)
                        .thenComparing(job -> job.mJob.submitToken()));
        return jobs;
    }

    private boolean isEligible(JobId id, SortedSet<InstanceId> regions, long ageNanos) {
        if (mOwnRegions.isEmpty() || regions.size() < 2 || ageNanos >= OTHER_REGION_DELAY_NANOS) {
            return true;
        }
        return RendezvousHash.pick(id.value(), regions)
                .filter(region -> mOwnRegions.contains(new RegionId(region.value())))
                .isPresent();
    }

    private SortedSet<InstanceId> regions(ClusterState state) {
        SortedSet<InstanceId> regions = new TreeSet<>();
        if (!mOwnRegions.isEmpty()) {
            state.work()
                    .workers()
                    .values()
                    .forEach(
                            worker ->
                                    regions.add(
                                            new InstanceId(
                                                    worker.registration().region().value())));
        }
        return regions;
    }
}
