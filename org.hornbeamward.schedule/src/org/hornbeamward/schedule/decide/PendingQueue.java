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
 * Jobs with pending tasks and since when each has waited. Deciders of several regions see the same
 * jobs; each job has one region by rendezvous hash that tries it first.
 */
final class PendingQueue {
    /** Age at which the other regions try a job too; well under the urgent bound of 2.3 s. */
    private static final long OTHER_REGION_NANOS = 500_000_000L;

    private final Map<JobId, Long> mWaitingSinceNanos = new HashMap<>();
    private final Map<JobId, Long> mTriedSinceNanos = new HashMap<>();
    private Set<RegionId> mOwnRegions = Set.of();

    PendingQueue() {}

    void setOwnRegions(Set<RegionId> regions) {
        mOwnRegions = Set.copyOf(regions);
    }

    /** Notes that a task of a job was placed, so that the job does not count as waiting. */
    void notePlaced(JobId job, long nowNanos) {
        mWaitingSinceNanos.replace(job, nowNanos);
    }

    /** Returns when a job first came to the head of its team's queue; now if it just did. */
    long triedSinceNanos(JobId job, long nowNanos) {
        return mTriedSinceNanos.computeIfAbsent(job, unused -> nowNanos);
    }

    /** Returns the jobs with pending tasks by tier and age; cost grows with jobs, not tasks. */
    List<PendingJob> jobs(ClusterState state, InFlightDecisions inFlight, long nowNanos) {
        SortedSet<InstanceId> regions = regions(state);
        SortedSet<TaskId> rest = state.work().pending();
        List<PendingJob> jobs = new ArrayList<>();
        Set<JobId> seen = new HashSet<>();
        while (!rest.isEmpty()) {
            JobId id = rest.first().job();
            rest = rest.tailSet(new TaskId(id, Integer.MAX_VALUE));
            seen.add(id);
            long waitingSinceNanos = mWaitingSinceNanos.computeIfAbsent(id, unused -> nowNanos);
            JobStatus job = state.work().jobs().get(id);
            if (job != null && isTried(id, regions, nowNanos - waitingSinceNanos)) {
                jobs.add(new PendingJob(state, job, waitingSinceNanos, inFlight));
            }
        }
        mWaitingSinceNanos.keySet().retainAll(seen);
        mTriedSinceNanos.keySet().retainAll(seen);
        jobs.sort(
                Comparator.comparing((PendingJob job) -> job.mTier)
                        .thenComparing(job -> job.mJob.submitToken()));
        return jobs;
    }

    private boolean isTried(JobId id, SortedSet<InstanceId> regions, long ageNanos) {
        if (mOwnRegions.isEmpty() || regions.size() < 2 || ageNanos >= OTHER_REGION_NANOS) {
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
