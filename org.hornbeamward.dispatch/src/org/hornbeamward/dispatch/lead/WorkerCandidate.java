package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.dispatch.decide.LookAhead;
import org.hornbeamward.dispatch.decide.Neighbors;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.Resources;
import org.jspecify.annotations.Nullable;

/** A worker as a placement candidate, with the runs that the current pass adds to it. */
final class WorkerCandidate implements LookAhead.Candidate {
    private final WorkerSession mWorker;
    private final FillerController mFillerController;
    private final List<Run> mRuns = new ArrayList<>();
    private final Usage mUsage = new Usage();
    private final long mPresentFillerCpuMillicores;
    private Resources mKeptFree = Resources.NONE;

    /** Room that is held for a task from a time on; none if the time is not set. */
    private Resources mHeld = Resources.NONE;

    /** Monotonic time from which the room is held; {@code Long.MAX_VALUE} if none is held. */
    private long mHeldFromMillis = Long.MAX_VALUE;

    private @Nullable Neighbors mNeighbors;
    private @Nullable Resources mFree;

    WorkerCandidate(WorkerSession worker, FillerController fillerController) {
        mWorker = worker;
        mFillerController = fillerController;
        mPresentFillerCpuMillicores = worker.pacedFillerCpuMillicores();
    }

    WorkerSession worker() {
        return mWorker;
    }

    void add(Run run) {
        mNeighbors = null;
        mFree = null;
        mRuns.add(run);
        mUsage.add(run);
    }

    void remove(Run run) {
        mNeighbors = null;
        mFree = null;
        if (mRuns.remove(run)) {
            mUsage.remove(run);
        }
    }

    /** Keeps room free for a long-running task that does not fit yet. */
    void keepFree(StepSpec step) {
        mFree = null;
        mKeptFree = mKeptFree.plus(step.reservation());
    }

    /** Holds room for a task that is expected to fit from a monotonic time on. */
    void hold(StepSpec step, long fromMillis) {
        mHeld = step.reservation();
        mHeldFromMillis = fromMillis;
    }

    boolean isHeld() {
        return mHeldFromMillis != Long.MAX_VALUE;
    }

    @Override
    public Resources freeFor(StepSpec step) {
        return !isHeld() || LookAhead.endsBefore(step, mWorker.nowMillis(), mHeldFromMillis)
                ? free()
                : free().minus(mHeld);
    }

    @Override
    public List<LookAhead.Release> releases() {
        List<LookAhead.Release> releases = new ArrayList<>();
        for (Run run : mWorker.runs()) {
            if (!run.task.step.spec.longRunning()) {
                releases.add(
                        new LookAhead.Release(
                                run.task.step.spec.reservation(),
                                run.expectedEndMillis(mWorker.nowMillis())));
            }
        }
        return releases;
    }

    int sameStepCount(Step step) {
        int count = 0;
        for (Run run : mWorker.runs()) {
            count += run.task.step == step ? 1 : 0;
        }
        for (Run run : mRuns) {
            count += run.task.step == step ? 1 : 0;
        }
        return count;
    }

    @Override
    public WorkerEntry entry() {
        return mWorker.entry();
    }

    @Override
    public Resources free() {
        Resources free = mFree;
        if (free == null) {
            free = mWorker.free().minus(mUsage.reserved()).minus(mKeptFree);
            mFree = free;
        }
        return free;
    }

    @Override
    public long fillerCpuMillicores() {
        return mPresentFillerCpuMillicores + mUsage.fillerCpuMillicores();
    }

    @Override
    public long longRunningCpuMillicores() {
        return mWorker.longRunningCpuMillicores()
                + mUsage.longRunningCpuMillicores()
                + mKeptFree.cpuMillicores();
    }

    Neighbors neighbors() {
        Neighbors neighbors = mNeighbors;
        if (neighbors == null && mRuns.isEmpty()) {
            neighbors = mWorker.neighbors(mFillerController);
            mNeighbors = neighbors;
        } else if (neighbors == null) {
            List<Run> runs = new ArrayList<>(mWorker.runs());
            runs.addAll(mRuns);
            neighbors = mFillerController.neighbors(runs);
            mNeighbors = neighbors;
        }
        return neighbors;
    }

    @Override
    public double interference(StepSpec step) {
        return neighbors().interference(step);
    }

    @Override
    public boolean isHarmedBy(StepSpec step) {
        return neighbors().isHarmedBy(step);
    }

    @Override
    public double excludedFillerShare(String image) {
        return neighbors().excludedFillerShare(image);
    }

    @Override
    public double suspicion() {
        return mWorker.suspicion();
    }
}
