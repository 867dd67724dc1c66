package org.hornbeamward.bench.fake;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.TeamId;

/** Figures measured in one run. */
public final class RunFigures {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Service latency over the agreed period, in thousandths. */
    public final Histogram mLatencyPermille = new Histogram(10_000_000L, 3);

    /** Time from submission to start of urgent tasks. */
    public final Histogram mUrgentStartMillis = new Histogram(3_600_000L, 3);

    /** Work of finished batch tasks in core seconds of a run without interference. */
    public double mFinishedCoreSeconds;

    /** Work of finished batch tasks by class. */
    public final Map<String, Double> mFinishedByClass = new TreeMap<>();

    /** Work of finished batch tasks by team. */
    public final Map<TeamId, Double> mFinishedByTeam = new TreeMap<>();

    /**
     * Work of stopped or failed batch tasks since their last checkpoint; cancelled tasks excluded.
     */
    public double mLostCoreSeconds;

    /** Evictions because of interference or preemption. */
    public long mEvictionCount;

    /** Evictions that did not help. */
    public long mUnhelpfulCount;

    /** Accepted placements. */
    public long mStartCount;

    /** Commands that the state machine rejected. */
    public long mRejectedCount;

    /** Batch tasks that failed, on a failing worker or because of memory exhaustion. */
    public long mFailureCount;

    /** Task seconds during which service tasks waited for a placement after their first one. */
    public double mServiceDownSeconds;

    /** Started tasks by team. */
    public final Map<TeamId, Integer> mStartsByTeam = new TreeMap<>();

    /** Declared processors of placed tasks, integrated over time in core seconds. */
    public double mCommittedCoreSeconds;

    /** Latest start per failure domain. */
    public final Map<FailureDomainId, Long> mLastStartNanos = new TreeMap<>();

    final Map<JobId, Long> mSubmitNanos = new HashMap<>();

    RunFigures() {}

    void started(FakeTask task, RegisterWorker worker, long nowNanos) {
        mLastStartNanos.put(worker.failureDomain(), nowNanos);
        mStartsByTeam.merge(task.mSpec.team(), 1, Integer::sum);
        Long submitNanos = mSubmitNanos.get(task.mSpec.id());
        if (task.mSpec.urgent() && submitNanos != null) {
            mUrgentStartMillis.recordValue((nowNanos - submitNanos) / 1_000_000);
        }
    }

    void ended(FakeTask task, TaskOutcome outcome) {
        JobSpec spec = task.mSpec;
        double cores = spec.resources().cpuMillicores() / 1000.0;
        if (outcome == TaskOutcome.FINISHED) {
            double work = task.mWorkSeconds * cores;
            mFinishedCoreSeconds += work;
            mFinishedByClass.merge(spec.className(), work, Double::sum);
            mFinishedByTeam.merge(spec.team(), work, Double::sum);
        } else if (!task.service()) {
            boolean cancelled = task.mStopReason == StopReason.CANCELLED;
            mLostCoreSeconds += cancelled ? 0 : cores * (task.mDoneSeconds - task.mSavedSeconds);
            mFailureCount += outcome == TaskOutcome.FAILED ? 1 : 0;
        }
    }

    void latency(double ratio) {
        mLatencyPermille.recordValue(Math.min(9_999_999, Math.round(ratio * 1000)));
    }

    /**
     * Returns the 99th percentile of the latency over the agreed period.
     *
     * @return a ratio
     */
    public double p99Ratio() {
        return mLatencyPermille.getValueAtPercentile(99) / 1000.0;
    }

    /**
     * Returns the share of evictions that did not help.
     *
     * @return 0.0 to 1.0
     */
    public double unhelpfulRatio() {
        return mEvictionCount == 0 ? 0 : (double) mUnhelpfulCount / mEvictionCount;
    }

    static double seconds(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }
}
