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
 * Measures processor time of the decider at 46 starts and ends per second, with a usage sample of
 * each worker every 5 s and a call every 40 ms, as in the control duty.
 */
final class DecideMeasure {
    /** A region has a third of the target's workers; one member may decide for all of them. */
    private static final int[] WORKER_COUNTS = {88, 177, 353, 530};

    private static final int REGION_WORKER_COUNT = 177;

    /** Number of service classes and of batch classes. */
    private static final int[] CLASS_COUNTS = {2, 4, 8, 12};

    private static final int USUAL_CLASS_COUNT = 12;
    private static final long TICK_NANOS = 40_000_000L;
    private static final int TICKS_PER_SECOND = 25;
    private static final int TICKS_PER_SAMPLE = 125;
    private static final double STARTS_PER_TICK = 46.0 / TICKS_PER_SECOND;
    private static final int TICK_COUNT = 125;

    /** Latency over the agreed period of services that tolerate batch work on the same worker. */
    private static final double LOW_LATENCY_RATIO = 0.3;

    /** Latency ratio of services next to which the policy places batch work only after a wait. */
    private static final double HIGH_LATENCY_RATIO = 1;

    private final Report mReport;
    private final long mSeed;

    DecideMeasure(Report report, long seed) {
        mReport = report;
        mSeed = seed;
    }

    void run() {
        measure(WORKER_COUNTS[0], USUAL_CLASS_COUNT, LOW_LATENCY_RATIO);
        double[] x = new double[WORKER_COUNTS.length];
        double[][] y = new double[4][x.length];
        for (int i = 0; i < x.length; i++) {
            x[i] = WORKER_COUNTS[i];
            setColumn(y, i, measure(WORKER_COUNTS[i], USUAL_CLASS_COUNT, LOW_LATENCY_RATIO));
        }
        add("Worker", x, y);
        x = new double[CLASS_COUNTS.length];
        y = new double[4][x.length];
        for (int i = 0; i < x.length; i++) {
            x[i] = 2.0 * CLASS_COUNTS[i];
            setColumn(y, i, measure(REGION_WORKER_COUNT, CLASS_COUNTS[i], LOW_LATENCY_RATIO));
        }
        add("ClassAt177Workers", x, y);
        Run waiting = createRun(REGION_WORKER_COUNT, USUAL_CLASS_COUNT, HIGH_LATENCY_RATIO);
        waiting.runTicks(TICK_COUNT, STARTS_PER_TICK);
        mReport.add(
                "decide.nanosPerSecond.waitingForAnyClassAt177Workers",
                waiting.runTicks(TICK_COUNT, 0) * TICKS_PER_SECOND / TICK_COUNT);
    }

    private Run createRun(int workerCount, int classCount, double latencyRatio) {
        ClusterSize size =
                ClusterSize.TARGET
                        .withEndedJobs(0)
                        .withTasks((double) workerCount / ClusterSize.TARGET.workerCount())
                        .withWorkers(workerCount);
        return new Run(new MeasuredCluster(size, mSeed, classCount), mSeed, latencyRatio);
    }

    /**
     * Returns nanoseconds per start, scores per start, idle nanoseconds per second and burst
     * nanoseconds.
     */
    private double[] measure(int workerCount, int classCount, double latencyRatio) {
        Run run = createRun(workerCount, classCount, latencyRatio);
        run.runTicks(TICK_COUNT, STARTS_PER_TICK);
        long scoresBefore = run.mDecider.scoreCount();
        long placedBefore = run.mPlacedCount;
        double nanos = run.runTicks(TICK_COUNT, STARTS_PER_TICK);
        double placed = run.mPlacedCount - placedBefore;
        double scores = run.mDecider.scoreCount() - scoresBefore;
        double idle = run.runTicks(TICK_COUNT, 0) * TICKS_PER_SECOND / TICK_COUNT;
        return new double[] {nanos / placed, scores / placed, idle, run.measureBurst()};
    }

    private static void setColumn(double[][] y, int i, double[] values) {
        for (int series = 0; series < values.length; series++) {
            y[series][i] = values[series];
        }
    }

    private void add(String unit, double[] x, double[][] y) {
        mReport.series("decide.nanosPerStart", unit, x, y[0]);
        mReport.series("decide.scoresPerStart", unit, x, y[1]);
        mReport.series("decide.nanosPerSecond.withoutStarts", unit, x, y[2]);
        mReport.series("decide.nanosPerCall.with128Starts", unit, x, y[3]);
    }

    /** Decider on a cluster. The number of tasks per worker is the same at each size. */
    private static final class Run {
        private final MeasuredCluster mCluster;
        private final Decider mDecider = new Decider(new InterferencePolicy());
        private final SplittableRandom mRandom;
        private final double mLatencyRatio;
        private final List<TaskId> mStarted = new ArrayList<>();
        private long mNowNanos = 1;
        private double mDueStarts;
        private int mTick;
        private long mPlacedCount;

        Run(MeasuredCluster cluster, long seed, double latencyRatio) {
            mLatencyRatio = latencyRatio;
            mCluster = cluster;
            mRandom = new SplittableRandom(seed);
        }

        double runTicks(int count, double startsPerTick) {
            double nanos = 0;
            for (int i = 0; i < count; i++) {
                mDueStarts += startsPerTick;
                int starts = (int) mDueStarts;
                mDueStarts -= starts;
                submit(starts);
                nanos += tick();
                endOldest(starts);
            }
            return nanos;
        }

        /** Returns the median time of a call that places the maximum number of tasks per call. */
        double measureBurst() {
            double[] nanos = new double[3];
            for (int i = 0; i < nanos.length; i++) {
                submit(Decider.MAX_COMMANDS_PER_CALL);
                nanos[i] = tick();
                runTicks(5, 0);
                endOldest(Decider.MAX_COMMANDS_PER_CALL);
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
                        mPlacedCount++;
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
                                    ratios.put(spec.className(), mLatencyRatio * used);
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
