package org.hornbeamward.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.schedule.decide.Decider;
import org.hornbeamward.schedule.decide.Decisions;
import org.hornbeamward.schedule.policy.InterferencePolicy;
import org.hornbeamward.schedule.usage.TaskUsage;
import org.hornbeamward.schedule.usage.UsageSample;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.WorkerStatus;

/**
 * Processor time of the decider at 46 starts and ends a second, with a sample of each worker every
 * 5 s and a call every 40 ms, as the control duty does.
 */
final class DecideMeasure {
    private static final double[] SHARES = {0.25, 0.5, 0.75, 1};
    private static final long TICK_NANOS = 40_000_000L;
    private static final int TICKS_PER_SAMPLE = 125;
    private static final double STARTS_PER_TICK = 46 * 0.04;
    private static final int WARM_UP_TICKS = 1_500;
    private static final int MEASURED_TICKS = 750;

    private final Report mReport;
    private final long mSeed;

    DecideMeasure(Report report, long seed) {
        mReport = report;
        mSeed = seed;
    }

    void run() {
        double[] workers = new double[SHARES.length];
        double[] busy = new double[SHARES.length];
        double[] idle = new double[SHARES.length];
        double[] burst = new double[SHARES.length];
        for (int i = 0; i < SHARES.length; i++) {
            ClusterSize size =
                    ClusterSize.TARGET
                            .withEndedJobs(0)
                            .withTasks(SHARES[i])
                            .withWorkers((int) (ClusterSize.TARGET.workerCount() * SHARES[i]));
            Run run = new Run(new MeasuredCluster(size, mSeed), mSeed);
            workers[i] = size.workerCount();
            run.ticks(WARM_UP_TICKS, STARTS_PER_TICK);
            busy[i] = run.ticks(MEASURED_TICKS, STARTS_PER_TICK) / MEASURED_TICKS;
            idle[i] = run.ticks(MEASURED_TICKS, 0) / MEASURED_TICKS;
            burst[i] = run.burst();
        }
        mReport.series("decide.nanosPerCall.at46StartsPerSecond", "Worker", workers, busy);
        mReport.series("decide.nanosPerCall.withoutStarts", "Worker", workers, idle);
        mReport.series("decide.nanosPerCall.with1000Pending", "Worker", workers, burst);
    }

    /** One decider over one cluster. Tasks per worker are the same at each size. */
    private static final class Run {
        private final MeasuredCluster mCluster;
        private final Decider mDecider = new Decider(new InterferencePolicy());
        private final SplittableRandom mRandom;
        private final List<TaskId> mStarted = new ArrayList<>();
        private long mNowNanos = 1;
        private double mDue;
        private int mTick;

        Run(MeasuredCluster cluster, long seed) {
            mCluster = cluster;
            mRandom = new SplittableRandom(seed);
        }

        double ticks(int count, double startsPerTick) {
            double nanos = 0;
            for (int i = 0; i < count; i++) {
                mDue += startsPerTick;
                int starts = (int) mDue;
                mDue -= starts;
                submit(starts);
                nanos += tick();
                endOldest(starts);
            }
            return nanos;
        }

        /** Returns the median time of calls while many tasks wait. */
        double burst() {
            double[] nanos = new double[5];
            for (int i = 0; i < nanos.length; i++) {
                submit(1_000);
                nanos[i] = tick();
                ticks(60, 0);
                endOldest(1_000);
            }
            return Meter.median(nanos);
        }

        private void submit(int taskCount) {
            if (taskCount > 0) {
                JobSpec spec = mCluster.job(JobKind.BATCH, taskCount);
                mCluster.apply(List.of(MeasuredCluster.submit(spec)));
            }
        }

        private double tick() {
            List<UsageSample> samples = new ArrayList<>();
            int index = 0;
            for (WorkerStatus worker : mCluster.mState.work().workers().values()) {
                if (index++ % TICKS_PER_SAMPLE == mTick % TICKS_PER_SAMPLE) {
                    samples.add(sample(worker));
                }
            }
            mTick++;
            mNowNanos += TICK_NANOS;
            long before = Meter.cpuNanos();
            Decisions decisions = mDecider.decide(mCluster.mState, samples, mNowNanos);
            double nanos = Meter.cpuNanos() - before;
            if (!decisions.commands().isEmpty()) {
                for (CommandResult result : mCluster.apply(decisions.commands())) {
                    mDecider.onResult(result);
                    if (result.accepted() && result.command() instanceof PlaceTask place) {
                        mStarted.add(place.task());
                    }
                }
            }
            return nanos;
        }

        private void endOldest(int count) {
            List<TaskId> ending =
                    new ArrayList<>(mStarted.subList(0, Math.min(count, mStarted.size())));
            mStarted.subList(0, ending.size()).clear();
            ending.removeIf(
                    task ->
                            !(mCluster.mState.work().task(task).orElseThrow().state()
                                    instanceof TaskState.Placed));
            if (!ending.isEmpty()) {
                mCluster.end(ending);
            }
        }

        private UsageSample sample(WorkerStatus worker) {
            List<TaskUsage> usages = new ArrayList<>();
            TreeMap<String, Double> ratios = new TreeMap<>();
            worker.tasks()
                    .forEach(
                            (task, token) -> {
                                JobSpec spec = mCluster.specOf(task);
                                double used = 0.6 + 0.3 * mRandom.nextDouble();
                                usages.add(
                                        new TaskUsage(
                                                task,
                                                token,
                                                spec.className(),
                                                (long) (spec.resources().cpuMillicores() * used),
                                                (long) (spec.resources().memoryMib() * used),
                                                100));
                                if (spec.kind() == JobKind.SERVICE) {
                                    ratios.put(spec.className(), used);
                                }
                            });
            return new UsageSample(
                    worker.worker(),
                    worker.registration().incarnation(),
                    mNowNanos / 1_000_000,
                    usages,
                    ratios);
        }
    }
}
