package org.hornbeamward.bench.fake;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.schedule.usage.TaskUsage;
import org.hornbeamward.schedule.usage.UsageSample;
import org.jspecify.annotations.Nullable;

/** Worker that slows its tasks down according to the {@link InterferenceTable}. */
final class FakeWorker {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time from an accepted placement to the start of the task. */
    private static final double START_SECONDS = 0.3;

    /** Time after which a task fails on a failing worker. */
    private static final double FAIL_SECONDS = 2;

    private static final double CHECKPOINT_INTERVAL_SECONDS = 60;

    /** Time to stop a task without a final checkpoint, as after a preemption. */
    private static final double STOP_SECONDS = 0.5;

    /** Time to stop a task with a final checkpoint. */
    private static final double CHECKPOINT_STOP_SECONDS = 3;

    /** Latency over the agreed period of a service at load 1 without interference. */
    private static final double BASE_LATENCY_RATIO = 0.3;

    /** Log-normal noise of a measured latency ratio. */
    private static final double MEASUREMENT_SIGMA = 0.2;

    final RegisterWorker mRegistration;
    final List<FakeTask> mTasks = new ArrayList<>();
    boolean mFailing;
    private final InterferenceTable mTable;
    private final LoadProfile mLoadProfile;
    private final SplittableRandom mRandom;
    private final double mCores;
    private final double[] mPressure;
    private double mOverload = 1;

    FakeWorker(RegisterWorker registration, InterferenceTable table, LoadProfile load, long seed) {
        mRegistration = registration;
        mTable = table;
        mLoadProfile = load;
        mRandom = new SplittableRandom(seed * 31 + registration.worker().value().hashCode());
        mCores = registration.capacity().cpuMillicores() / 1000.0;
        mPressure = new double[table.classCount()];
    }

    void start(FakeTask task, long nowNanos) {
        task.mStartNanos = nowNanos + (long) (START_SECONDS * NANOS_PER_SECOND);
        task.mNextCheckpointNanos =
                task.mStartNanos
                        + (long)
                                (CHECKPOINT_INTERVAL_SECONDS
                                        * mRandom.nextDouble()
                                        * NANOS_PER_SECOND);
        if (mFailing) {
            task.mEndNanos = nowNanos + (long) (FAIL_SECONDS * NANOS_PER_SECOND);
            task.mEndOutcome = TaskOutcome.FAILED;
        }
        mTasks.add(task);
    }

    void stop(FakeTask task, StopReason reason, long nowNanos) {
        if (task.stopping()) {
            return;
        }
        task.mStopReason = reason;
        boolean checkpoints =
                task.mSpec.checkpointable()
                        && reason != StopReason.PREEMPTED
                        && reason != StopReason.CANCELLED;
        double seconds = checkpoints ? CHECKPOINT_STOP_SECONDS : STOP_SECONDS;
        if (checkpoints) {
            task.mSavedSeconds = task.mDoneSeconds;
        }
        task.mEndNanos = nowNanos + (long) (seconds * NANOS_PER_SECOND);
        task.mEndOutcome = TaskOutcome.STOPPED;
    }

    /** Updates the progress rate of every batch task from the tasks that run now. */
    void updateRates(double seconds) {
        double[] pressure = mPressure;
        Arrays.fill(pressure, 0);
        double used = 0;
        for (FakeTask task : mTasks) {
            used += coresNow(task, seconds);
            pressure[task.mClassIndex] += pressureOf(task, seconds);
        }
        mOverload = Math.max(1, used / mCores);
        for (FakeTask task : mTasks) {
            if (!task.service()) {
                task.mRate =
                        task.mThrottlePercent / 100.0 / (slowdownOf(task, seconds) * mOverload);
            }
        }
    }

    private double coresNow(FakeTask task, double seconds) {
        if (!task.mStarted) {
            return 0;
        }
        if (task.service()) {
            return task.mCores * mLoadProfile.service(task.mClassIndex, seconds);
        }
        return task.mCores * task.mThrottlePercent / 100.0;
    }

    private double pressureOf(FakeTask task, double seconds) {
        double burstFactor =
                task.service() ? 1 : mLoadProfile.burstFactor(task.mClassIndex, seconds);
        return coresNow(task, seconds) * task.mIntensity * burstFactor / mCores;
    }

    private double slowdownOf(FakeTask task, double seconds) {
        double own = pressureOf(task, seconds);
        mPressure[task.mClassIndex] -= own;
        double slowdown = mTable.slowdown(task.mClassIndex, mPressure);
        mPressure[task.mClassIndex] += own;
        return slowdown;
    }

    /** Returns the true latency of a service task over its agreed period, before request noise. */
    double latencyRatio(FakeTask task, double seconds) {
        double load = mLoadProfile.service(task.mClassIndex, seconds);
        double slowdown = 1 + load * (slowdownOf(task, seconds) - 1);
        return BASE_LATENCY_RATIO * (0.7 + 0.3 * load * load) * slowdown * mOverload * mOverload;
    }

    /** Returns the true latency ratio that a service task would have without another task. */
    double latencyRatioWithout(FakeTask task, FakeTask excluded, double seconds) {
        double pressure = pressureOf(excluded, seconds);
        mPressure[excluded.mClassIndex] -= pressure;
        double ratio = latencyRatio(task, seconds);
        mPressure[excluded.mClassIndex] += pressure;
        return ratio;
    }

    /** Advances the tasks and returns the commands that the worker's supervisor would append. */
    List<Command> advance(long fromNanos, long toNanos, RunFigures figures) {
        List<Command> commands = new ArrayList<>();
        Iterator<FakeTask> tasks = mTasks.iterator();
        while (tasks.hasNext()) {
            FakeTask task = tasks.next();
            if (task.mEndNanos <= toNanos) {
                end(task, commands, figures);
                tasks.remove();
                continue;
            }
            if (!task.mStarted) {
                task.mStarted = task.mStartNanos <= toNanos;
                if (task.mStarted) {
                    figures.started(task, mRegistration, toNanos);
                }
                continue;
            }
            if (!task.stopping() && !task.service() && !mFailing) {
                run(task, (toNanos - fromNanos) / NANOS_PER_SECOND, toNanos, commands);
            }
        }
        failOnMemoryExhaustion(toNanos);
        return commands;
    }

    private static void run(FakeTask task, double seconds, long nowNanos, List<Command> commands) {
        task.mDoneSeconds += seconds * task.mRate;
        if (task.mDoneSeconds >= task.mWorkSeconds) {
            task.mEndNanos = nowNanos;
            task.mEndOutcome = TaskOutcome.FINISHED;
        } else if (task.mSpec.checkpointable() && nowNanos >= task.mNextCheckpointNanos) {
            task.mNextCheckpointNanos =
                    nowNanos + (long) (CHECKPOINT_INTERVAL_SECONDS * NANOS_PER_SECOND);
            task.mSavedSeconds = task.mDoneSeconds;
            commands.add(new RecordCheckpoint(task.mTask, task.mToken, checkpointNumber(task)));
        }
    }

    static long checkpointNumber(FakeTask task) {
        return (long) (task.mSavedSeconds * 1000);
    }

    private static void end(FakeTask task, List<Command> commands, RunFigures figures) {
        TaskOutcome outcome = task.mEndOutcome == null ? TaskOutcome.LOST : task.mEndOutcome;
        commands.add(new EndTask(task.mTask, task.mToken, outcome, checkpointNumber(task)));
        figures.ended(task, outcome);
    }

    /** Fails the largest batch task if the worker is out of memory. */
    private void failOnMemoryExhaustion(long nowNanos) {
        long used = 0;
        FakeTask largest = null;
        for (FakeTask task : mTasks) {
            used += task.mMemoryMib;
            boolean larger = largest == null || task.mMemoryMib > largest.mMemoryMib;
            if (!task.service() && !task.stopping() && larger) {
                largest = task;
            }
        }
        if (used > mRegistration.capacity().memoryMib() && largest != null) {
            largest.mEndNanos = nowNanos;
            largest.mEndOutcome = TaskOutcome.FAILED;
            largest.mStopReason = StopReason.INTERFERENCE;
        }
    }

    UsageSample sample(long nowNanos) {
        double seconds = nowNanos / NANOS_PER_SECOND;
        List<TaskUsage> usages = new ArrayList<>();
        Map<String, double[]> ratios = new TreeMap<>();
        for (FakeTask task : mTasks) {
            if (!task.mStarted) {
                continue;
            }
            double cores = coresNow(task, seconds) * Distributions.logNormal(mRandom, 0.1);
            usages.add(
                    new TaskUsage(
                            task.mTask,
                            task.mToken,
                            task.mSpec.className(),
                            (long) (cores * 1000),
                            task.mMemoryMib,
                            task.mThrottlePercent));
            if (task.service()) {
                double[] sum =
                        ratios.computeIfAbsent(task.mSpec.className(), name -> new double[2]);
                sum[0] += latencyRatio(task, seconds);
                sum[1]++;
            }
        }
        TreeMap<String, Double> measured = new TreeMap<>();
        ratios.forEach(
                (name, sum) ->
                        measured.put(
                                name,
                                sum[0]
                                        / sum[1]
                                        * Distributions.logNormal(mRandom, MEASUREMENT_SIGMA)));
        return new UsageSample(
                mRegistration.worker(),
                mRegistration.incarnation(),
                nowNanos / 1_000_000,
                usages,
                measured);
    }

    @Nullable FakeTask task(TaskId id, long token) {
        for (FakeTask task : mTasks) {
            if (task.mToken == token && task.mTask.equals(id)) {
                return task;
            }
        }
        return null;
    }
}
