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

/** The decider's view of one worker. */
final class WorkerModel implements WorkerView {
    final WorkerStatus mStatus;
    final Map<Long, Placement> mPlacements = new TreeMap<>();
    final Map<TaskId, ResidentTask> mInFlight = new LinkedHashMap<>();
    private final Map<String, Double> mCoreSeconds = new HashMap<>();
    private List<ResidentTask> mTasks = List.of();
    private Map<String, ClassLoad> mLoads = Map.of();
    private Resources mInFlightSum = Resources.NONE;
    private Resources mReserved = Resources.NONE;
    private Resources mExcess = Resources.NONE;
    private long mIntegratedNanos;
    private long mLastSampleMillis = Long.MIN_VALUE;

    /** Committed sum at the last rebuild; the state replaces it at every change. */
    @Nullable Resources mCommittedSeen;

    /** Grows whenever room may have become free. */
    long mChangeSequence;

    /** No placement before this time, because tasks of several jobs failed here. */
    long mAvoidUntilNanos = Long.MIN_VALUE;

    int mFailedJobCount;

    /** When the worker last took or lost a task. */
    long mTouchedNanos;

    WorkerModel(WorkerStatus status, long nowNanos) {
        mStatus = status;
        mIntegratedNanos = nowNanos;
        mTouchedNanos = nowNanos;
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
        return mStatus.free().minus(mInFlightSum).minus(mReserved).minus(mExcess);
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

    /** Adds the time since the last call to the core seconds of the classes present. */
    void integrate(long nowNanos) {
        double seconds = (nowNanos - mIntegratedNanos) / 1e9;
        mIntegratedNanos = nowNanos;
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

    /** Tells whether a sample is of this incarnation and newer than those before. */
    boolean accepts(UsageSample sample) {
        if (sample.workerIncarnation() != mStatus.registration().incarnation()
                || sample.workerMillis() <= mLastSampleMillis) {
            return false;
        }
        mLastSampleMillis = sample.workerMillis();
        return true;
    }

    /**
     * Takes measured use above the declared sizes off the free resources: processors by the sum
     * over the worker, since they are shared, and memory task by task, since a worker that runs out
     * of it kills tasks. Use below the declared sizes frees nothing.
     */
    void tighten(UsageSample sample) {
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
        mExcess = new Resources(Math.max(0, cpuMillicores), memoryMib, 0);
    }
}
