package org.hornbeamward.schedule.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.usage.TaskUsage;
import org.hornbeamward.schedule.usage.UsageSample;
import org.jspecify.annotations.Nullable;

/**
 * Places tasks by the predicted loss of batch throughput and the predicted latency of services, and
 * reduces batch work on workers whose services are measurably late.
 *
 * <p>Scores are measured in cores of useful work per core of the task: 1 for a task that neither is
 * slowed down nor slows down others.
 */
public final class InterferencePolicy implements PlacementPolicy {
    /**
     * Cost of a late service, in cores of batch work per core of the service and per squared
     * lateness.
     */
    private static final double SERVICE_WEIGHT = 15;

    /** Ratio of mean latency to the agreed period above which a service is considered late. */
    private static final double LATE_RATIO = 0.35;

    /**
     * Weight of the preference for fuller workers among equals, which keeps capacity free for large
     * tasks.
     */
    private static final double PACKING_WEIGHT = 0.05;

    /**
     * Ratio of mean latency to the agreed period above which batch work is reduced. Latencies of
     * single requests vary around the mean, so the slowest 1% are late well before the mean is.
     */
    private static final double REDUCE_LATENCY_RATIO = 0.7;

    /**
     * Ratio of mean latency to the agreed period below which throttles are lifted; the gap to
     * {@link #REDUCE_LATENCY_RATIO} provides hysteresis.
     */
    private static final double UNTHROTTLE_LATENCY_RATIO = 0.45;

    /** Percentage of its declared processors that a throttled batch task may use. */
    private static final int THROTTLE_PERCENT = 50;

    /** Minimum predicted relief of the most affected service that justifies a reduction. */
    private static final double MIN_RELIEF = 0.1;

    /**
     * Time for which a class is not placed again on a worker where one of its tasks was stopped.
     */
    private static final long AVOID_AFTER_STOP_NANOS = 600_000_000_000L;

    /** Initial score threshold; a task waits for a while for a worker that fits better. */
    private static final double INITIAL_THRESHOLD = 0.5;

    /** Waiting time of a job over which the threshold falls by 1. */
    private static final double JOB_WAIT_PER_SCORE_NANOS = 1800e9;

    /** Time without a change of the worker's tasks over which the threshold falls by 1. */
    private static final double WORKER_IDLE_PER_SCORE_NANOS = 30e9;

    /** Smoothing factor of the moving average of measured over declared processor use. */
    private static final double USE_RATIO_SMOOTHING = 0.01;

    /** Time for which the scores of a worker are cached while its tasks do not change. */
    private static final long SCORE_CACHE_NANOS = 1_000_000_000L;

    private record ScoreKey(String className, long cpuMillicores, long memoryMib) {}

    private static final class ScoreCache {
        List<ResidentTask> mTasks = List.of();
        long mExpiresNanos = Long.MIN_VALUE;
        final Map<ScoreKey, Double> mValues = new HashMap<>();
    }

    private final Map<WorkerId, ScoreCache> mScoreCaches = new HashMap<>();
    private final SlowdownModel mModel = new SlowdownModel();
    private final SlowdownTable mSlowdowns;
    private final Map<WorkerId, LatencyMonitor> mMonitors = new HashMap<>();
    private final Map<String, Double> mUseRatios = new HashMap<>();
    private long mNowNanos;

    /** Creates a policy that learns slowdowns from measurements. */
    public InterferencePolicy() {
        this(null);
    }

    /**
     * Creates a policy with known slowdowns, which gives an upper bound in benchmarks.
     *
     * @param table the slowdowns, or null to learn them
     */
    public InterferencePolicy(@Nullable SlowdownTable table) {
        mSlowdowns = table == null ? mModel : table;
    }

    @Override
    public boolean usesMeasurements() {
        return true;
    }

    @Override
    public double threshold(long waitedNanos, long idleNanos) {
        return INITIAL_THRESHOLD
                - waitedNanos / JOB_WAIT_PER_SCORE_NANOS
                - idleNanos / WORKER_IDLE_PER_SCORE_NANOS;
    }

    @Override
    public double preference(double score, long waitedNanos) {
        return score + waitedNanos / JOB_WAIT_PER_SCORE_NANOS;
    }

    @Override
    public double score(JobSpec job, WorkerView worker) {
        ScoreCache cache = mScoreCaches.computeIfAbsent(worker.worker(), id -> new ScoreCache());
        if (cache.mTasks != worker.tasks() || mNowNanos >= cache.mExpiresNanos) {
            cache.mTasks = worker.tasks();
            cache.mExpiresNanos = mNowNanos + SCORE_CACHE_NANOS;
            cache.mValues.clear();
        }
        ScoreKey key =
                new ScoreKey(
                        job.className(),
                        job.resources().cpuMillicores(),
                        job.resources().memoryMib());
        Double known = cache.mValues.get(key);
        if (known != null) {
            return known;
        }
        double score = compute(job, worker);
        cache.mValues.put(key, score);
        return score;
    }

    private double compute(JobSpec job, WorkerView worker) {
        boolean service = job.kind() == JobKind.SERVICE;
        mModel.declare(job.className(), service);
        LatencyMonitor monitor = mMonitors.get(worker.worker());
        if (!service && monitor != null && monitor.avoidsClass(job.className(), mNowNanos)) {
            return Double.NEGATIVE_INFINITY;
        }
        double jobCores = job.resources().cpuMillicores() / 1000.0;
        double capacity = worker.capacity().cpuMillicores() / 1000.0;
        double jobShare = jobCores * useRatio(job.className()) / capacity;
        Map<String, ClassLoad> loads = worker.loads();
        double gain = 0;
        double ownSlowdown = 1;
        for (Map.Entry<String, ClassLoad> entry : loads.entrySet()) {
            String victim = entry.getKey();
            ClassLoad load = entry.getValue();
            ownSlowdown +=
                    mSlowdowns.coefficient(job.className(), victim) * share(victim, load, capacity);
            double added = mSlowdowns.coefficient(victim, job.className()) * jobShare;
            if (added > 0) {
                double before = slowdown(victim, load, loads, capacity);
                gain -= loss(victim, load, before, before + added);
            }
        }
        gain +=
                service
                        ? jobCores * (1 - lateness(job.className(), ownSlowdown))
                        : jobCores / ownSlowdown;
        double left = worker.free().minus(job.resources()).dominantShareOf(worker.capacity());
        return gain / jobCores - PACKING_WEIGHT * left;
    }

    private double loss(String victim, ClassLoad load, double before, double after) {
        return load.service()
                ? load.cores() * (lateness(victim, after) - lateness(victim, before))
                : load.cores() * (1 / before - 1 / after);
    }

    /**
     * Returns the cost per core of a service at a slowdown; it grows with the square of the
     * lateness.
     */
    private double lateness(String service, double slowdown) {
        double late = Math.max(0, mModel.serviceLevel(service) * slowdown - LATE_RATIO);
        return SERVICE_WEIGHT * late * late;
    }

    private double useRatio(String className) {
        return mUseRatios.getOrDefault(className, 1.0);
    }

    private double share(String className, ClassLoad load, double capacity) {
        return load.cores() * useRatio(className) / capacity;
    }

    private double slowdown(
            String victim, ClassLoad load, Map<String, ClassLoad> loads, double capacity) {
        double slowdown = 1;
        for (Map.Entry<String, ClassLoad> entry : loads.entrySet()) {
            double share = share(entry.getKey(), entry.getValue(), capacity);
            if (entry.getKey().equals(victim)) {
                share *= (load.count() - 1.0) / load.count();
            }
            slowdown += mSlowdowns.coefficient(victim, entry.getKey()) * share;
        }
        return slowdown;
    }

    @Override
    public void observe(UsageSample sample, WorkerView worker, long nowNanos) {
        mNowNanos = nowNanos;
        double capacity = worker.capacity().cpuMillicores() / 1000.0;
        Map<Long, ResidentTask> residents = new HashMap<>();
        for (ResidentTask task : worker.tasks()) {
            residents.put(task.token(), task);
            mModel.declare(task.spec().className(), !task.batch());
        }
        Map<String, Double> shares = new HashMap<>();
        Map<String, Integer> counts = new HashMap<>();
        for (TaskUsage usage : sample.tasks()) {
            double cores = usage.cpuMillicores() / 1000.0;
            shares.merge(usage.className(), cores / capacity, Double::sum);
            counts.merge(usage.className(), 1, Integer::sum);
            ResidentTask resident = residents.get(usage.token());
            if (resident != null && usage.throttlePercent() == 100) {
                double ratio =
                        (double) usage.cpuMillicores()
                                / resident.spec().resources().cpuMillicores();
                mUseRatios.merge(
                        usage.className(),
                        ratio,
                        (old, now) -> old + USE_RATIO_SMOOTHING * (now - old));
            }
        }
        sample.latencyRatios()
                .forEach(
                        (victim, ratio) -> {
                            Map<String, Double> others = new HashMap<>(shares);
                            int count = Math.max(1, counts.getOrDefault(victim, 1));
                            others.computeIfPresent(
                                    victim, (name, share) -> share * (count - 1) / count);
                            mModel.observeService(victim, ratio, others);
                        });
        mMonitors.computeIfAbsent(worker.worker(), id -> new LatencyMonitor()).observe(sample);
    }

    @Override
    public void observeProgress(Progress progress) {
        Map<String, Double> shares = new HashMap<>();
        progress.meanCores()
                .forEach(
                        (name, cores) ->
                                shares.put(name, cores * useRatio(name) / progress.workerCores()));
        mModel.observeProgress(progress, shares);
    }

    @Override
    public List<Reduction> proposeReductions(WorkerView worker, long nowNanos) {
        LatencyMonitor monitor = mMonitors.get(worker.worker());
        if (monitor == null) {
            return List.of();
        }
        Reduction reduction = null;
        if (monitor.isLatencyAbove(REDUCE_LATENCY_RATIO)) {
            reduction = nextReduction(worker, monitor);
        } else if (monitor.isLatencyBelow(UNTHROTTLE_LATENCY_RATIO)) {
            reduction = liftThrottle(worker, monitor);
        }
        if (reduction == null) {
            return List.of();
        }
        monitor.recordReduction(reduction);
        if (reduction.kind() == Reduction.Kind.STOP) {
            monitor.avoidClass(
                    reduction.task().spec().className(), nowNanos + AVOID_AFTER_STOP_NANOS);
        }
        return List.of(reduction);
    }

    /**
     * Returns the next reduction of the batch task whose absence would speed up the services most.
     */
    private @Nullable Reduction nextReduction(WorkerView worker, LatencyMonitor monitor) {
        List<ResidentTask> batch = new ArrayList<>();
        for (ResidentTask task : worker.tasks()) {
            boolean measured = monitor.mThrottlePercentByToken.containsKey(task.token());
            boolean reducible = task.batch() && !task.spec().urgent() && measured;
            if (reducible && relief(worker, monitor, task) >= MIN_RELIEF) {
                batch.add(task);
            }
        }
        ResidentTask worst =
                batch.stream()
                        .max(
                                Comparator.comparingDouble(
                                                (ResidentTask task) ->
                                                        relief(worker, monitor, task))
                                        .thenComparing(ResidentTask::task))
                        .orElse(null);
        if (worst == null) {
            return null;
        }
        int percent = monitor.mThrottlePercentByToken.getOrDefault(worst.token(), 100);
        if (percent > THROTTLE_PERCENT) {
            return new Reduction(Reduction.Kind.THROTTLE, worst, THROTTLE_PERCENT);
        }
        if (worst.spec().checkpointable()
                && !monitor.mCheckpointedByToken.containsKey(worst.token())) {
            return new Reduction(Reduction.Kind.CHECKPOINT, worst, percent);
        }
        return new Reduction(Reduction.Kind.STOP, worst, percent);
    }

    /** Predicts by what fraction the most affected service would speed up without a task. */
    private double relief(WorkerView worker, LatencyMonitor monitor, ResidentTask task) {
        double capacity = worker.capacity().cpuMillicores() / 1000.0;
        double share =
                task.spec().resources().cpuMillicores()
                        / 1000.0
                        * useRatio(task.spec().className())
                        * monitor.mThrottlePercentByToken.getOrDefault(task.token(), 100)
                        / 100.0
                        / capacity;
        double best = 0;
        for (Map.Entry<String, ClassLoad> entry : worker.loads().entrySet()) {
            if (entry.getValue().service()) {
                double slowdown =
                        slowdown(entry.getKey(), entry.getValue(), worker.loads(), capacity);
                double part =
                        mSlowdowns.coefficient(entry.getKey(), task.spec().className()) * share;
                best = Math.max(best, part / slowdown);
            }
        }
        return best;
    }

    private static @Nullable Reduction liftThrottle(WorkerView worker, LatencyMonitor monitor) {
        for (ResidentTask task : worker.tasks()) {
            Integer percent = monitor.mThrottlePercentByToken.get(task.token());
            if (percent != null && percent < 100) {
                return new Reduction(Reduction.Kind.THROTTLE, task, 100);
            }
        }
        return null;
    }
}
