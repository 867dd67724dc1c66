package org.hornbeamward.schedule.decide;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.policy.Progress;
import org.hornbeamward.schedule.policy.ResidentTask;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.JobStatus;
import org.hornbeamward.state.TaskStatus;
import org.hornbeamward.state.WorkTable;
import org.hornbeamward.state.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * The decider's model of its workers, synchronized with the replicated state at each call. Only
 * workers whose committed resources changed are read again.
 */
final class ClusterModel {
    /**
     * How long a worker is avoided after tasks of one job failed on it; four times as long for each
     * further job, up to four further jobs.
     */
    private static final long INITIAL_AVOID_NANOS = 5_000_000_000L;

    private final SortedMap<WorkerId, WorkerModel> mWorkers = new TreeMap<>();
    private final TreeMap<Long, WorkerModel> mWorkersByChange = new TreeMap<>();
    private final Map<Long, Placement> mPlacements = new HashMap<>();
    private final Map<String, Integer> mServiceCounts = new HashMap<>();
    private final Map<FailureDomainId, Resources> mDomainCapacity = new HashMap<>();
    private final Map<FailureDomainId, Resources> mDomainCommitted = new HashMap<>();
    private Predicate<RegionId> mRegionFilter = region -> true;
    private long mChangeSequence;
    private boolean mInitialized;

    void setRegions(Predicate<RegionId> regions) {
        mRegionFilter = regions;
    }

    Collection<WorkerModel> workers() {
        return mWorkers.values();
    }

    @Nullable WorkerModel worker(WorkerId id) {
        return mWorkers.get(id);
    }

    @Nullable Placement placement(long token) {
        return mPlacements.get(token);
    }

    /**
     * Returns the latest change sequence; a higher value means that capacity may have become free.
     */
    long changeSequence() {
        return mChangeSequence;
    }

    void markChanged(WorkerModel worker) {
        mWorkersByChange.remove(worker.mChangeSequence);
        worker.mChangeSequence = ++mChangeSequence;
        mWorkersByChange.put(worker.mChangeSequence, worker);
    }

    /** Returns the workers on which capacity may have become free after a change sequence. */
    Collection<WorkerModel> changedAfter(long sequence) {
        return mWorkersByChange.tailMap(sequence, false).values();
    }

    Map<FailureDomainId, Resources> domainCapacity() {
        return Collections.unmodifiableMap(mDomainCapacity);
    }

    /** Returns the resources committed or in flight in a failure domain. */
    Resources domainCommitted(FailureDomainId domain) {
        return mDomainCommitted.getOrDefault(domain, Resources.NONE);
    }

    /**
     * Returns how many tasks of a service are placed, or being placed, in a rack or failure domain.
     */
    int serviceCount(String className, String locationKey) {
        return mServiceCounts.getOrDefault(className + '\n' + locationKey, 0);
    }

    static String domainKey(WorkerModel worker) {
        return "domain " + worker.mStatus.registration().failureDomain();
    }

    static String rackKey(WorkerModel worker) {
        return "rack "
                + worker.mStatus.registration().failureDomain()
                + ' '
                + worker.mStatus.registration().rack();
    }

    /** Synchronizes the model with the replicated state. */
    void refresh(ClusterState state, long nowNanos) {
        SortedMap<WorkerId, WorkerStatus> registered = state.work().workers();
        Set<WorkerId> removedWorkers = new HashSet<>(mWorkers.keySet());
        for (WorkerStatus status : registered.values()) {
            if (!mRegionFilter.test(status.registration().region())) {
                continue;
            }
            removedWorkers.remove(status.worker());
            WorkerModel worker = mWorkers.get(status.worker());
            if (worker != null && worker.mStatus != status) {
                remove(worker);
                worker = null;
            }
            if (worker == null) {
                worker = add(status, nowNanos);
            }
            if (worker.mLastCommitted != status.committed()) {
                syncPlacements(worker, state.work(), nowNanos);
            }
            updateAvoidance(worker, nowNanos);
        }
        for (WorkerId id : removedWorkers) {
            WorkerModel worker = mWorkers.get(id);
            if (worker != null) {
                remove(worker);
            }
        }
        mInitialized = true;
    }

    private WorkerModel add(WorkerStatus status, long nowNanos) {
        WorkerModel worker = new WorkerModel(status, nowNanos);
        mWorkers.put(status.worker(), worker);
        mDomainCapacity.merge(
                status.registration().failureDomain(),
                status.registration().capacity(),
                Resources::plus);
        markChanged(worker);
        return worker;
    }

    private void remove(WorkerModel worker) {
        mWorkers.remove(worker.worker());
        mWorkersByChange.remove(worker.mChangeSequence);
        FailureDomainId domain = worker.mStatus.registration().failureDomain();
        Resources left =
                mDomainCapacity.getOrDefault(domain, Resources.NONE).minus(worker.capacity());
        mDomainCapacity.put(domain, left);
        for (Placement placement : List.copyOf(worker.placements())) {
            removePlacement(worker, placement);
        }
        for (ResidentTask task : List.copyOf(worker.mInFlight.values())) {
            removeInFlight(worker, task);
        }
    }

    void addInFlight(WorkerModel worker, ResidentTask task) {
        worker.addInFlight(task);
        adjustCounts(worker, task, 1);
    }

    void removeInFlight(WorkerModel worker, ResidentTask task) {
        if (worker.mInFlight.containsKey(task.task())) {
            worker.removeInFlight(task.task());
            adjustCounts(worker, task, -1);
            if (mWorkers.get(worker.worker()) == worker) {
                markChanged(worker);
            }
        }
    }

    private void syncPlacements(WorkerModel worker, WorkTable work, long nowNanos) {
        worker.accumulateCoreSeconds(nowNanos);
        WorkerStatus status = worker.mStatus;
        worker.mLastCommitted = status.committed();
        worker.mTasksChangedNanos = nowNanos;
        for (Placement placement : List.copyOf(worker.placements())) {
            Long token = status.tasks().get(placement.mTask.task());
            if (token == null || token != placement.mTask.token()) {
                removePlacement(worker, placement);
            }
        }
        for (Map.Entry<TaskId, Long> entry : status.tasks().entrySet()) {
            if (!worker.mPlacements.containsKey(entry.getValue())) {
                addPlacement(worker, work, entry.getKey(), entry.getValue(), nowNanos);
            }
        }
        worker.refreshTasks();
        markChanged(worker);
    }

    private void addPlacement(
            WorkerModel worker, WorkTable work, TaskId id, long token, long nowNanos) {
        JobStatus job = work.jobs().get(id.job());
        TaskStatus task = work.task(id).orElse(null);
        if (job == null || task == null) {
            return;
        }
        ResidentTask resident = new ResidentTask(id, token, job.spec());
        ResidentTask inFlight = worker.mInFlight.get(id);
        if (inFlight != null) {
            removeInFlight(worker, inFlight);
        }
        Placement placement =
                new Placement(resident, worker, nowNanos, mInitialized, worker.coreSeconds());
        worker.mPlacements.put(token, placement);
        mPlacements.put(token, placement);
        adjustCounts(worker, resident, 1);
    }

    private void removePlacement(WorkerModel worker, Placement placement) {
        worker.mPlacements.remove(placement.mTask.token());
        mPlacements.remove(placement.mTask.token());
        adjustCounts(worker, placement.mTask, -1);
    }

    private void adjustCounts(WorkerModel worker, ResidentTask task, int sign) {
        FailureDomainId domain = worker.mStatus.registration().failureDomain();
        Resources committed = domainCommitted(domain);
        Resources size = task.spec().resources();
        mDomainCommitted.put(domain, sign > 0 ? committed.plus(size) : committed.minus(size));
        if (task.spec().kind() == JobKind.SERVICE) {
            String prefix = task.spec().className() + '\n';
            mServiceCounts.merge(prefix + domainKey(worker), sign, Integer::sum);
            mServiceCounts.merge(prefix + rackKey(worker), sign, Integer::sum);
        }
    }

    /** Records an accepted checkpoint; returns the progress since the previous one, if known. */
    @Nullable Progress onCheckpoint(long token, long checkpoint, long nowNanos) {
        Placement placement = mPlacements.get(token);
        WorkerModel worker = placement == null ? null : placement.mWorker;
        if (placement == null || worker == null) {
            return null;
        }
        worker.accumulateCoreSeconds(nowNanos);
        Map<String, Double> meanCores = worker.coreSeconds();
        Map<String, Double> before = placement.mCoreSecondsAtCheckpoint;
        double seconds = (nowNanos - placement.mCheckpointNanos) / 1e9;
        long increase = checkpoint - placement.mCheckpointNumber;
        boolean hasPrevious = placement.mCheckpointNumber > 0;
        placement.mCheckpointNumber = checkpoint;
        placement.mCheckpointNanos = nowNanos;
        placement.mCoreSecondsAtCheckpoint = new HashMap<>(meanCores);
        if (!hasPrevious || seconds < 1 || increase <= 0) {
            return null;
        }
        before.forEach((name, start) -> meanCores.merge(name, -start, Double::sum));
        meanCores.replaceAll((name, coreSeconds) -> coreSeconds / seconds);
        JobSpec spec = placement.mTask.spec();
        double cores = spec.resources().cpuMillicores() / 1000.0;
        meanCores.merge(spec.className(), -cores, Double::sum);
        meanCores.values().removeIf(mean -> mean < 1e-9);
        double workerCores = worker.capacity().cpuMillicores() / 1000.0;
        return new Progress(spec, increase / seconds, meanCores, workerCores);
    }

    private void updateAvoidance(WorkerModel worker, long nowNanos) {
        int count = worker.mStatus.failedJobs().size();
        if (count > worker.mFailedJobCount) {
            worker.mAvoidUntilNanos =
                    nowNanos + (INITIAL_AVOID_NANOS << (2 * Math.min(count - 1, 4)));
        }
        if (count == 0 && worker.mFailedJobCount > 0) {
            markChanged(worker);
        }
        worker.mFailedJobCount = count;
    }
}
