package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.policy.PlacementPolicy;
import org.hornbeamward.state.TaskStatus;
import org.jspecify.annotations.Nullable;

/** Selects the best worker for a task. */
final class Placer {
    /**
     * Score penalty per task of the service in the same failure domain, above the minimum over the
     * candidates' failure domains.
     */
    private static final double DOMAIN_SPREAD_COST = 0.5;

    /** Score penalty per task of the service in the same rack. */
    private static final double RACK_SPREAD_COST = 0.2;

    /** Score penalty per task of the service on the same worker. */
    private static final double WORKER_SPREAD_COST = 0.2;

    /**
     * Run time of a task after which a worker with failures is considered possibly healthy again.
     */
    private static final long PROBE_SUCCESS_NANOS = 20_000_000_000L;

    /**
     * Time for which failed searches are cached; limited because domain ramps and estimates change.
     */
    private static final long FAILED_SEARCH_CACHE_NANOS = 1_000_000_000L;

    /**
     * Maximum number of workers scored per search. Scoring more workers with free capacity improves
     * the choice only little, and the limit bounds the cost of a search on a large empty cluster.
     */
    private static final int MAX_CANDIDATES = 40;

    private record SearchKey(String className, JobKind kind, boolean urgent, Resources need) {}

    /**
     * The best worker for a task.
     *
     * @param worker worker with enough free capacity
     * @param score the policy's score
     */
    record Choice(WorkerModel worker, double score) {}

    private final ClusterModel mCluster;
    private final DomainRamp mRamp;
    private final PlacementPolicy mPolicy;
    private final Map<SearchKey, Long> mFailedSearchSequences = new HashMap<>();
    private long mFailedSearchesExpireNanos = Long.MIN_VALUE;
    private long mScoreCount;

    Placer(ClusterModel cluster, DomainRamp ramp, PlacementPolicy policy) {
        mCluster = cluster;
        mRamp = ramp;
        mPolicy = policy;
    }

    /** Returns how often the policy scored a worker. */
    long scoreCount() {
        return mScoreCount;
    }

    void beginCall(long nowNanos) {
        if (nowNanos >= mFailedSearchesExpireNanos) {
            mFailedSearchSequences.clear();
            mFailedSearchesExpireNanos = nowNanos + FAILED_SEARCH_CACHE_NANOS;
        }
    }

    /** Returns the best worker with enough free capacity, or null. */
    @Nullable Choice find(JobSpec job, TaskStatus task, long waitedNanos, long nowNanos) {
        SearchKey key = new SearchKey(job.className(), job.kind(), job.urgent(), job.resources());
        boolean cacheable = task.failedWorkers().isEmpty();
        long failedSequence = cacheable ? mFailedSearchSequences.getOrDefault(key, -1L) : -1L;
        if (failedSequence == mCluster.changeSequence()) {
            return null;
        }
        List<WorkerModel> candidates = candidates(job, task, failedSequence, nowNanos);
        Choice best = selectBest(job, candidates, waitedNanos, nowNanos);
        if (best == null && cacheable) {
            mFailedSearchSequences.put(key, mCluster.changeSequence());
        }
        return best;
    }

    private List<WorkerModel> candidates(
            JobSpec job, TaskStatus task, long failedSequence, long nowNanos) {
        Map<FailureDomainId, Boolean> allowed = new HashMap<>();
        List<WorkerModel> candidates = new ArrayList<>();
        // The least recently changed workers come first, so that successive searches vary.
        for (WorkerModel worker : mCluster.changedAfter(failedSequence)) {
            if (candidates.size() >= MAX_CANDIDATES) {
                break;
            }
            if (!job.resources().fitsIn(worker.free())
                    || !isUsable(job, task.failedWorkers(), worker, nowNanos)) {
                continue;
            }
            FailureDomainId domain = worker.mStatus.registration().failureDomain();
            if (allowed.computeIfAbsent(
                    domain, unused -> mRamp.allows(domain, job.resources(), nowNanos))) {
                candidates.add(worker);
            }
        }
        return candidates;
    }

    /** Returns whether a worker may take a task, regardless of its free capacity. */
    boolean isUsable(JobSpec job, Set<WorkerId> failedWorkers, WorkerModel worker, long nowNanos) {
        if (worker.mStatus.quarantined()
                || !mRamp.inService(worker.mStatus.registration().failureDomain())
                || failedWorkers.contains(worker.worker())) {
            return false;
        }
        return worker.mFailedJobCount == 0 || isProbe(job, worker, nowNanos);
    }

    /**
     * Returns whether a task may probe a worker with failures. Such a worker gets one batch task at
     * a time until it has proved healthy.
     */
    private static boolean isProbe(JobSpec job, WorkerModel worker, long nowNanos) {
        if (job.kind() == JobKind.SERVICE
                || job.urgent()
                || nowNanos < worker.mAvoidUntilNanos
                || !worker.mInFlight.isEmpty()) {
            return false;
        }
        return worker.placements().stream()
                .allMatch(placement -> nowNanos - placement.mFirstSeenNanos > PROBE_SUCCESS_NANOS);
    }

    private @Nullable Choice selectBest(
            JobSpec job, List<WorkerModel> candidates, long waitedNanos, long nowNanos) {
        int minDomainCount = Integer.MAX_VALUE;
        boolean service = job.kind() == JobKind.SERVICE;
        if (service) {
            for (WorkerModel worker : candidates) {
                minDomainCount = Math.min(minDomainCount, domainCount(job, worker));
            }
        }
        WorkerModel best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerModel worker : candidates) {
            mScoreCount++;
            double score = mPolicy.score(job, worker);
            if (service) {
                score -= spreadCost(job, worker, minDomainCount);
            }
            boolean thresholdApplies = !service && !job.urgent();
            if (thresholdApplies
                    && score
                            < mPolicy.threshold(
                                    waitedNanos, nowNanos - worker.mTasksChangedNanos)) {
                continue;
            }
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best == null ? null : new Choice(best, bestScore);
    }

    private int domainCount(JobSpec job, WorkerModel worker) {
        return mCluster.serviceCount(job.className(), ClusterModel.domainKey(worker));
    }

    private double spreadCost(JobSpec job, WorkerModel worker, int minDomainCount) {
        int rackCount = mCluster.serviceCount(job.className(), ClusterModel.rackKey(worker));
        return DOMAIN_SPREAD_COST * (domainCount(job, worker) - minDomainCount)
                + RACK_SPREAD_COST * rackCount
                + WORKER_SPREAD_COST * worker.classCount(job.className());
    }
}
