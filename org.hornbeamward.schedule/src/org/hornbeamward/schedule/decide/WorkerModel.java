package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.policy.ClassLoad;
import org.hornbeamward.schedule.policy.ResidentTask;
import org.hornbeamward.schedule.policy.WorkerView;
import org.hornbeamward.schedule.usage.TaskUsage;
import org.hornbeamward.schedule.usage.UsageSample;
import org.hornbeamward.state.WorkerStatus;
import org.jspecify.annotations.Nullable;

/** The decider's model of one worker. */
final class WorkerModel implements WorkerView {
    final WorkerStatus mStatus;
    final Map<Long, Placement> mPlacements = new TreeMap<>();
    final Map<TaskId, ResidentTask> mInFlight = new LinkedHashMap<>();
    private final Map<String, Double> mCoreSeconds = new HashMap<>();
    private List<ResidentTask> mTasks = List.of();
    private Map<String, ClassLoad> mLoads = Map.of();
    private Resources mInFlightSum = Resources.NONE;
    private Resources mReserved = Resources.NONE;
    private Resources mExcessUse = Resources.NONE;
    private long mAccumulatedUntilNanos;
    private long mLastSampleMillis = Long.MIN_VALUE;

    /**
     * Committed resources at the last synchronization. Compared by identity, because the state
     * replaces the object at every change.
     */
    @Nullable Resources mLastCommitted;

    /** Increases whenever capacity may have become free. */
    long mChangeSequence;

    /** No placement before this time, because tasks failed on this worker. */
    long mAvoidUntilNanos = Long.MIN_VALUE;

    int mFailedJobCount;

    /** Time of the last change of the tasks placed on the worker. */
    long mTasksChangedNanos;

    WorkerModel(WorkerStatus status, long nowNanos) {
        mStatus = status;
        mAccumulatedUntilNanos = nowNanos;
        mTasksChangedNanos = nowNanos;
    }

    @Override
    public WorkerId worker() {
        return mStatus.worker();
    }

    @Override
    public Resources capacity() {
        return mStatus.registration().capacity();
    }

    @Override
    public Resources free() {
        return mStatus.free().minus(mInFlightSum).minus(mReserved).minus(mExcessUse);
    }

    @Override
    public List<ResidentTask> tasks() {
        return mTasks;
    }

    @Override
    public Map<String, ClassLoad> loads() {
        return mLoads;
    }

    int classCount(String className) {
        ClassLoad load = mLoads.get(className);
        return load == null ? 0 : load.count();
    }

    Collection<Placement> placements() {
        return Collections.unmodifiableCollection(mPlacements.values());
    }

    void addInFlight(ResidentTask task) {
        mInFlight.put(task.task(), task);
        mInFlightSum = mInFlightSum.plus(task.spec().resources());
        refreshTasks();
    }

    void removeInFlight(TaskId id) {
        ResidentTask task = mInFlight.remove(id);
        if (task != null) {
            mInFlightSum = mInFlightSum.minus(task.spec().resources());
            refreshTasks();
        }
    }

    void reserve(Resources amount) {
        mReserved = mReserved.plus(amount);
    }

    void unreserve(Resources amount) {
        mReserved = mReserved.minus(amount);
    }

    /** Adds the time since the last call to the core seconds of each class placed on the worker. */
    void accumulateCoreSeconds(long nowNanos) {
        double seconds = (nowNanos - mAccumulatedUntilNanos) / 1e9;
        mAccumulatedUntilNanos = nowNanos;
        if (seconds <= 0) {
            return;
        }
        for (Placement placement : mPlacements.values()) {
            mCoreSeconds.merge(
                    placement.mTask.spec().className(),
                    seconds * placement.mTask.spec().resources().cpuMillicores() / 1000.0,
                    Double::sum);
        }
    }

    Map<String, Double> coreSeconds() {
        return new HashMap<>(mCoreSeconds);
    }

    void refreshTasks() {
        List<ResidentTask> tasks = new ArrayList<>(mPlacements.size() + mInFlight.size());
        mPlacements.values().forEach(placement -> tasks.add(placement.mTask));
        tasks.addAll(mInFlight.values());
        mTasks = Collections.unmodifiableList(tasks);
        Map<String, ClassLoad> loads = new TreeMap<>();
        for (ResidentTask task : tasks) {
            loads.merge(
                    task.spec().className(),
                    new ClassLoad(
                            task.spec().resources().cpuMillicores() / 1000.0, 1, !task.batch()),
                    (a, b) ->
                            new ClassLoad(
                                    a.cores() + b.cores(), a.count() + b.count(), a.service()));
        }
        mLoads = Collections.unmodifiableMap(loads);
    }

    /** Returns whether a sample belongs to this incarnation and is newer than all previous ones. */
    boolean accepts(UsageSample sample) {
        if (sample.workerIncarnation() != mStatus.registration().incarnation()
                || sample.workerMillis() <= mLastSampleMillis) {
            return false;
        }
        mLastSampleMillis = sample.workerMillis();
        return true;
    }

    /**
     * Deducts measured use in excess of the declared sizes from the free resources. Processor use
     * is summed over the worker, because processors are shared; memory is compared task by task,
     * because a worker that runs out of memory kills tasks. Use below the declared sizes does not
     * increase the free resources.
     */
    void deductExcessUse(UsageSample sample) {
        long cpuMillicores = 0;
        long memoryMib = 0;
        for (TaskUsage usage : sample.tasks()) {
            Placement placement = mPlacements.get(usage.token());
            if (placement == null) {
                continue;
            }
            Resources declared = placement.mTask.spec().resources();
            cpuMillicores += usage.cpuMillicores() - declared.cpuMillicores();
            memoryMib += Math.max(0, usage.memoryMib() - declared.memoryMib());
        }
        mExcessUse = new Resources(Math.max(0, cpuMillicores), memoryMib, 0);
    }
}
