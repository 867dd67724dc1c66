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

/** Finds the best worker for a task. */
final class Placer {
    /** Score lost per task of the service in the same failure domain above the fewest. */
    private static final double DOMAIN_SPREAD_COST = 0.5;

    /** Score lost per task of the service in the same rack. */
    private static final double RACK_SPREAD_COST = 0.2;

    /** Score lost per task of the service on the same worker. */
    private static final double WORKER_SPREAD_COST = 0.2;

    /** A task that ran this long on a worker with failures shows that the worker may be well. */
    private static final long PROBE_NANOS = 20_000_000_000L;

    /** Failed searches are forgotten after this time, since ramps and estimates change. */
    private static final long MEMO_NANOS = 1_000_000_000L;

    /**
     * Workers rated per search. A good choice among many that have room gains little over a good
     * choice among some, and the cost of a search on a large empty cluster stays bounded.
     */
    private static final int MAX_CANDIDATES = 40;

    private record Shape(String className, JobKind kind, boolean urgent, Resources need) {}

    /**
     * The best worker for a task.
     *
     * @param worker the worker
     * @param score the policy's score
     */
    record Choice(WorkerModel worker, double score) {}

    private final ClusterModel mCluster;
    private final DomainRamp mRamp;
    private final PlacementPolicy mPolicy;
    private final Map<Shape, Long> mFailedAtSequence = new HashMap<>();
    private long mMemoExpiresNanos = Long.MIN_VALUE;
    private long mScoreCount;

    Placer(ClusterModel cluster, DomainRamp ramp, PlacementPolicy policy) {
        mCluster = cluster;
        mRamp = ramp;
        mPolicy = policy;
    }

    /** Returns how often the policy was asked, as a measure of work. */
    long scoreCount() {
        return mScoreCount;
    }

    void beginCall(long nowNanos) {
        if (nowNanos >= mMemoExpiresNanos) {
            mFailedAtSequence.clear();
            mMemoExpiresNanos = nowNanos + MEMO_NANOS;
        }
    }

    /** Returns the best worker with room, or null. */
    @Nullable Choice find(JobSpec job, TaskStatus task, long waitedNanos, long nowNanos) {
        Shape shape = new Shape(job.className(), job.kind(), job.urgent(), job.resources());
        boolean plain = task.failedWorkers().isEmpty();
        long failedAt = plain ? mFailedAtSequence.getOrDefault(shape, -1L) : -1L;
        if (failedAt == mCluster.changeSequence()) {
            return null;
        }
        List<WorkerModel> candidates = candidates(job, task, failedAt, nowNanos);
        Choice best = best(job, candidates, waitedNanos, nowNanos);
        if (best == null && plain) {
            mFailedAtSequence.put(shape, mCluster.changeSequence());
        }
        return best;
    }

    private List<WorkerModel> candidates(
            JobSpec job, TaskStatus task, long failedAt, long nowNanos) {
        Map<FailureDomainId, Boolean> allowed = new HashMap<>();
        List<WorkerModel> candidates = new ArrayList<>();
        // The least recently changed workers come first, so successive searches differ.
        for (WorkerModel worker : mCluster.changedAfter(failedAt)) {
            if (candidates.size() >= MAX_CANDIDATES) {
                break;
            }
            if (!job.resources().fitsIn(worker.free())
                    || !usable(job, task.failedWorkers(), worker, nowNanos)) {
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

    /** Tells whether a worker may take a task if it has the room. */
    boolean usable(JobSpec job, Set<WorkerId> failedWorkers, WorkerModel worker, long nowNanos) {
        if (worker.mStatus.quarantined()
                || !mRamp.inService(worker.mStatus.registration().failureDomain())
                || failedWorkers.contains(worker.worker())) {
            return false;
        }
        return worker.mFailedJobCount == 0 || isProbe(job, worker, nowNanos);
    }

    /** A worker that failed tasks gets one batch task at a time to show that it is well. */
    private static boolean isProbe(JobSpec job, WorkerModel worker, long nowNanos) {
        if (job.kind() == JobKind.SERVICE
                || job.urgent()
                || nowNanos < worker.mAvoidUntilNanos
                || !worker.mInFlight.isEmpty()) {
            return false;
        }
        return worker.placements().stream()
                .allMatch(placement -> nowNanos - placement.mFirstSeenNanos > PROBE_NANOS);
    }

    private @Nullable Choice best(
            JobSpec job, List<WorkerModel> candidates, long waitedNanos, long nowNanos) {
        int fewest = Integer.MAX_VALUE;
        boolean service = job.kind() == JobKind.SERVICE;
        if (service) {
            for (WorkerModel worker : candidates) {
                fewest = Math.min(fewest, inDomain(job, worker));
            }
        }
        WorkerModel best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerModel worker : candidates) {
            mScoreCount++;
            double score = mPolicy.score(job, worker);
            if (service) {
                score -= spreadCost(job, worker, fewest);
            }
            boolean patient = !service && !job.urgent();
            if (patient
                    && score < mPolicy.threshold(waitedNanos, nowNanos - worker.mTouchedNanos)) {
                continue;
            }
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best == null ? null : new Choice(best, bestScore);
    }

    private int inDomain(JobSpec job, WorkerModel worker) {
        return mCluster.serviceCount(job.className(), ClusterModel.domainKey(worker));
    }

    private double spreadCost(JobSpec job, WorkerModel worker, int fewest) {
        int inRack = mCluster.serviceCount(job.className(), ClusterModel.rackKey(worker));
        return DOMAIN_SPREAD_COST * (inDomain(job, worker) - fewest)
                + RACK_SPREAD_COST * inRack
                + WORKER_SPREAD_COST * worker.classCount(job.className());
    }
}
