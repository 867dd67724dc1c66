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
 * Places by the predicted loss of batch work and the predicted latency of services, and reduces
 * batch work on workers where services are measurably late.
 *
 * <p>A score is in cores of useful work per core of the task: 1 for a task that is not slowed and
 * slows nothing.
 */
public final class InterferencePolicy implements PlacementPolicy {
    /** Cores of batch work that one core of a service is worth per square of its lateness. */
    private static final double SERVICE_WEIGHT = 15;

    /** Mean latency over the agreed period from which on a service counts as getting late. */
    private static final double LATE_RATIO = 0.35;

    /** Prefers fuller workers among equals, so that large tasks find room. */
    private static final double PACKING_WEIGHT = 0.05;

    /**
     * Mean latency over the agreed period above which a service counts as harmed: single requests
     * spread around the mean, so the slowest in a hundred are late well before the mean is.
     */
    private static final double HARM_RATIO = 0.7;

    /** Mean latency below which throttles are lifted; the gap to the harm ratio is hysteresis. */
    private static final double CALM_RATIO = 0.45;

    private static final int THROTTLE_PERCENT = 50;

    /** Least predicted relief of the worst service for a reduction. */
    private static final double LEAST_RELIEF = 0.1;

    /** A class that was stopped on a worker is not placed there again for this time. */
    private static final long AVOID_NANOS = 600_000_000_000L;

    /** First threshold of a score; a worker that fits better is worth waiting for. */
    private static final double THRESHOLD = 0.5;

    /** The threshold falls by 1 per this waiting time of a job. */
    private static final double JOB_WAIT_NANOS = 1800e9;

    /** The threshold falls by 1 per this time of free room. */
    private static final double ROOM_IDLE_NANOS = 30e9;

    /** Rate at which measured over declared processor use is followed. */
    private static final double USE_RATE = 0.01;

    /** Scores of a worker are kept for this time while its tasks are the same. */
    private static final long SCORE_NANOS = 1_000_000_000L;

    private record ScoreKey(String className, long cpuMillicores, long memoryMib) {}

    private static final class Scores {
        List<ResidentTask> mTasks = List.of();
        long mExpiresNanos = Long.MIN_VALUE;
        final Map<ScoreKey, Double> mValues = new HashMap<>();
    }

    private final Map<WorkerId, Scores> mScores = new HashMap<>();
    private final SlowdownModel mModel = new SlowdownModel();
    private final SlowdownTable mTable;
    private final Map<WorkerId, HarmWatch> mWatches = new HashMap<>();
    private final Map<String, Double> mUseRatios = new HashMap<>();
    private long mNowNanos;

    /** Creates a policy that learns the slowdowns. */
    public InterferencePolicy() {
        this(null);
    }

    /**
     * Creates a policy with known slowdowns, as an upper bound in measurements.
     *
     * @param table the slowdowns, or null to learn them
     */
    public InterferencePolicy(@Nullable SlowdownTable table) {
        mTable = table == null ? mModel : table;
    }

    @Override
    public boolean usesMeasurements() {
        return true;
    }

    @Override
    public double threshold(long waitedNanos, long idleNanos) {
        return THRESHOLD - waitedNanos / JOB_WAIT_NANOS - idleNanos / ROOM_IDLE_NANOS;
    }

    @Override
    public double preference(double score, long waitedNanos) {
        return score + waitedNanos / JOB_WAIT_NANOS;
    }

    @Override
    public double score(JobSpec job, WorkerView worker) {
        Scores scores = mScores.computeIfAbsent(worker.worker(), id -> new Scores());
        if (scores.mTasks != worker.tasks() || mNowNanos >= scores.mExpiresNanos) {
            scores.mTasks = worker.tasks();
            scores.mExpiresNanos = mNowNanos + SCORE_NANOS;
            scores.mValues.clear();
        }
        ScoreKey key =
                new ScoreKey(
                        job.className(),
                        job.resources().cpuMillicores(),
                        job.resources().memoryMib());
        Double known = scores.mValues.get(key);
        if (known != null) {
            return known;
        }
        double score = compute(job, worker);
        scores.mValues.put(key, score);
        return score;
    }

    private double compute(JobSpec job, WorkerView worker) {
        boolean service = job.kind() == JobKind.SERVICE;
        mModel.declare(job.className(), service);
        HarmWatch watch = mWatches.get(worker.worker());
        if (!service && watch != null && watch.avoids(job.className(), mNowNanos)) {
            return Double.NEGATIVE_INFINITY;
        }
        double jobCores = job.resources().cpuMillicores() / 1000.0;
        double capacity = worker.capacity().cpuMillicores() / 1000.0;
        double jobShare = jobCores * useRatio(job.className()) / capacity;
        Map<String, ClassLoad> loads = worker.loads();
        double gain = 0;
        double own = 1;
        for (Map.Entry<String, ClassLoad> entry : loads.entrySet()) {
            String victim = entry.getKey();
            ClassLoad load = entry.getValue();
            own += mTable.coefficient(job.className(), victim) * share(victim, load, capacity);
            double added = mTable.coefficient(victim, job.className()) * jobShare;
            if (added > 0) {
                double before = slowdown(victim, load, loads, capacity);
                gain -= loss(victim, load, before, before + added);
            }
        }
        gain += service ? jobCores * (1 - lateness(job.className(), own)) : jobCores / own;
        double left = worker.free().minus(job.resources()).dominantShareOf(worker.capacity());
        return gain / jobCores - PACKING_WEIGHT * left;
    }

    private double loss(String victim, ClassLoad load, double before, double after) {
        return load.service()
                ? load.cores() * (lateness(victim, after) - lateness(victim, before))
                : load.cores() * (1 / before - 1 / after);
    }

    /** Cost per core of a service at a slowdown; grows with the square of the lateness. */
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
            slowdown += mTable.coefficient(victim, entry.getKey()) * share;
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
                        usage.className(), ratio, (old, now) -> old + USE_RATE * (now - old));
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
        mWatches.computeIfAbsent(worker.worker(), id -> new HarmWatch()).observe(sample);
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
    public List<Reduction> reduce(WorkerView worker, long nowNanos) {
        HarmWatch watch = mWatches.get(worker.worker());
        if (watch == null) {
            return List.of();
        }
        Reduction action = null;
        if (watch.harmedAbove(HARM_RATIO)) {
            action = against(worker, watch);
        } else if (watch.calmBelow(CALM_RATIO)) {
            action = lift(worker, watch);
        }
        if (action == null) {
            return List.of();
        }
        watch.acted(action);
        if (action.kind() == Reduction.Kind.STOP) {
            watch.avoid(action.task().spec().className(), nowNanos + AVOID_NANOS);
        }
        return List.of(action);
    }

    /** Takes the next step against the batch task from which the services would gain most. */
    private @Nullable Reduction against(WorkerView worker, HarmWatch watch) {
        List<ResidentTask> batch = new ArrayList<>();
        for (ResidentTask task : worker.tasks()) {
            boolean seen = watch.mThrottlePercentByToken.containsKey(task.token());
            boolean reducible = task.batch() && !task.spec().urgent() && seen;
            if (reducible && relief(worker, watch, task) >= LEAST_RELIEF) {
                batch.add(task);
            }
        }
        ResidentTask worst =
                batch.stream()
                        .max(
                                Comparator.comparingDouble(
                                                (ResidentTask task) -> relief(worker, watch, task))
                                        .thenComparing(ResidentTask::task))
                        .orElse(null);
        if (worst == null) {
            return null;
        }
        int percent = watch.mThrottlePercentByToken.getOrDefault(worst.token(), 100);
        if (percent > THROTTLE_PERCENT) {
            return new Reduction(Reduction.Kind.THROTTLE, worst, THROTTLE_PERCENT);
        }
        if (worst.spec().checkpointable()
                && !watch.mCheckpointedByToken.containsKey(worst.token())) {
            return new Reduction(Reduction.Kind.CHECKPOINT, worst, percent);
        }
        return new Reduction(Reduction.Kind.STOP, worst, percent);
    }

    /** Predicts by how much the worst service would get faster without a task. */
    private double relief(WorkerView worker, HarmWatch watch, ResidentTask task) {
        double capacity = worker.capacity().cpuMillicores() / 1000.0;
        double share =
                task.spec().resources().cpuMillicores()
                        / 1000.0
                        * useRatio(task.spec().className())
                        * watch.mThrottlePercentByToken.getOrDefault(task.token(), 100)
                        / 100.0
                        / capacity;
        double best = 0;
        for (Map.Entry<String, ClassLoad> entry : worker.loads().entrySet()) {
            if (entry.getValue().service()) {
                double slowdown =
                        slowdown(entry.getKey(), entry.getValue(), worker.loads(), capacity);
                double part = mTable.coefficient(entry.getKey(), task.spec().className()) * share;
                best = Math.max(best, part / slowdown);
            }
        }
        return best;
    }

    private static @Nullable Reduction lift(WorkerView worker, HarmWatch watch) {
        for (ResidentTask task : worker.tasks()) {
            Integer percent = watch.mThrottlePercentByToken.get(task.token());
            if (percent != null && percent < 100) {
                return new Reduction(Reduction.Kind.THROTTLE, task, 100);
            }
        }
        return null;
    }
}
