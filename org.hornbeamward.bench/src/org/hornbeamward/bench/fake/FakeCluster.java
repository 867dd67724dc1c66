package org.hornbeamward.bench.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.decide.Advice;
import org.hornbeamward.schedule.decide.Decider;
import org.hornbeamward.schedule.decide.Decisions;
import org.hornbeamward.schedule.policy.PlacementPolicy;
import org.hornbeamward.schedule.usage.UsageSample;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.TaskStatus;
import org.hornbeamward.state.WorkerStatus;
import org.jspecify.annotations.Nullable;

/**
 * Runs the real {@link Decider} and replicated state with fake workers on a virtual clock. Every
 * change goes through {@link ClusterState#apply}. Commands appended in one tick are applied in the
 * next one, so the decider always has decisions in flight.
 */
public final class FakeCluster {
    private static final long SECOND = 1_000_000_000L;

    /** Interval of usage samples. They arrive 2 to 8 s late, and 2 in 100 are lost. */
    private static final long SAMPLE_INTERVAL_NANOS = 5 * SECOND;

    private static final double SAMPLE_LOSS_SHARE = 0.02;

    /** Log-normal spread of request latency around the current mean. */
    private static final double REQUEST_SIGMA = 0.3;

    /**
     * A preemption counts as helpful if urgent or service work is placed on the worker in this
     * time.
     */
    private static final long PREEMPTION_USE_LIMIT_NANOS = 10 * SECOND;

    /**
     * An eviction counts as helpful if it lowers the latency of a service that exceeds its agreed
     * period by at least this share.
     */
    private static final double MIN_HELPFUL_REDUCTION = 0.05;

    /**
     * 99th percentile of the spread of request latency. A service whose latency ratio times this
     * factor is above 1 exceeds its agreed period.
     */
    private static final double REQUEST_P99_FACTOR = Math.exp(2.326 * REQUEST_SIGMA);

    private final Deployment mDeployment;
    private final long mSeed;
    private final long mTickNanos;
    private final ClusterState mState = new ClusterState();
    private final Decider mDecider;
    private final InterferenceTable mTable;
    private final RunFigures mFigures = new RunFigures();
    private final Map<WorkerId, FakeWorker> mWorkers = new TreeMap<>();
    private final Map<TaskId, Double> mSavedSeconds = new HashMap<>();
    private final TreeMap<Long, List<UsageSample>> mSamplesInFlight = new TreeMap<>();
    private final SplittableRandom mRandom;
    private final InstanceId mAuthor = new InstanceId("bench-1");
    private final LoadProfile mLoadProfile;
    private final Map<WorkerId, List<Long>> mPreemptedNanos = new TreeMap<>();
    private List<Command> mQueuedCommands = new ArrayList<>();
    private long mOffset;
    private long mSequence;
    private long mNowNanos;
    private long mDecideNanos;

    /**
     * Creates a cluster without workers and jobs.
     *
     * @param deployment size of the cluster
     * @param seed seed of all random draws
     * @param policy placement policy of the decider
     * @param tickNanos step of the virtual clock, which is also the latency of an append
     */
    public FakeCluster(Deployment deployment, long seed, PlacementPolicy policy, long tickNanos) {
        mDeployment = deployment;
        mSeed = seed;
        mTickNanos = tickNanos;
        mDecider = new Decider(policy);
        mTable = new InterferenceTable(deployment, seed);
        mRandom = new SplittableRandom(seed * 31 + 3);
        mLoadProfile =
                new LoadProfile(seed, deployment.serviceClasses().size(), mTable.classCount());
        append(
                new JoinMember(
                        mAuthor,
                        1,
                        new FailureDomainId("domain-0"),
                        new RegionId("region-0"),
                        "",
                        ""));
    }

    /** Registers all workers. */
    public void registerWorkers() {
        for (int i = 0; i < mDeployment.workerCount(); i++) {
            int domain = i % mDeployment.domainCount();
            int acceleratorCount = Math.max(0, Math.min(8, mDeployment.acceleratorCount() - 8 * i));
            Resources capacity = mDeployment.capacity().plus(new Resources(0, 0, acceleratorCount));
            RegisterWorker register =
                    new RegisterWorker(
                            new WorkerId(String.format("worker-%03d", i)),
                            1,
                            new FailureDomainId("domain-" + domain),
                            new RegionId("region-" + domain % mDeployment.regionCount()),
                            "rack-" + i / mDeployment.domainCount() / mDeployment.rackSize(),
                            capacity,
                            "",
                            mState.members().epoch());
            mWorkers.put(register.worker(), new FakeWorker(register, mTable, mLoadProfile, mSeed));
            append(register);
        }
    }

    /**
     * Queues a command for the log.
     *
     * @param command command to apply in the next tick
     */
    public void append(Command command) {
        if (command instanceof SubmitJob submit) {
            mFigures.mSubmitNanos.put(submit.job().id(), mNowNanos);
        }
        mQueuedCommands.add(command);
    }

    /**
     * Makes a worker fail every task started from now on.
     *
     * @param index position of the worker in the order of ids
     */
    public void failWorker(int index) {
        List.copyOf(mWorkers.values()).get(index).mFailing = true;
    }

    /**
     * Returns the replicated state.
     *
     * @return live view
     */
    public ClusterState state() {
        return mState;
    }

    /**
     * Returns the figures measured so far.
     *
     * @return live view
     */
    public RunFigures figures() {
        return mFigures;
    }

    /**
     * Returns the virtual time.
     *
     * @return nanoseconds since the start
     */
    public long nowNanos() {
        return mNowNanos;
    }

    /**
     * Returns the real time spent in the decider, which differs between runs.
     *
     * @return nanoseconds
     */
    public long decideNanos() {
        return mDecideNanos;
    }

    /**
     * Returns the batch work that is done and would survive a stop.
     *
     * @return core seconds of finished tasks and of the progress of unfinished ones
     */
    public double batchCoreSeconds() {
        double sum = mFigures.mFinishedCoreSeconds;
        for (FakeWorker worker : mWorkers.values()) {
            for (FakeTask task : worker.mTasks) {
                if (!task.service()) {
                    sum += task.mDoneSeconds * task.mSpec.resources().cpuMillicores() / 1000.0;
                }
            }
        }
        for (Map.Entry<TaskId, Double> saved : mSavedSeconds.entrySet()) {
            TaskStatus task = mState.work().task(saved.getKey()).orElse(null);
            if (task != null && task.state() instanceof TaskState.Pending) {
                JobId job = saved.getKey().job();
                JobSpec spec = spec(job);
                sum += saved.getValue() * spec.resources().cpuMillicores() / 1000.0;
            }
        }
        return sum;
    }

    /** Advances the virtual clock by one tick. */
    public void tick() {
        applyQueued();
        long fromNanos = mNowNanos;
        mNowNanos += mTickNanos;
        boolean second = mNowNanos / SECOND != fromNanos / SECOND;
        for (FakeWorker worker : mWorkers.values()) {
            mQueuedCommands.addAll(worker.advance(fromNanos, mNowNanos, mFigures));
            if (second) {
                worker.updateRates(RunFigures.seconds(mNowNanos));
                recordLatencies(worker);
            }
        }
        if (second) {
            measureSecond();
        }
        decide();
    }

    private void recordLatencies(FakeWorker worker) {
        double seconds = RunFigures.seconds(mNowNanos);
        for (FakeTask task : worker.mTasks) {
            if (task.service() && task.mStarted && !task.stopping()) {
                double ratio = worker.latencyRatio(task, seconds);
                mFigures.latency(ratio * Distributions.logNormal(mRandom, REQUEST_SIGMA));
            }
        }
    }

    private void countUnusedPreemptions() {
        for (List<Long> times : mPreemptedNanos.values()) {
            long before = times.size();
            times.removeIf(at -> mNowNanos - at > PREEMPTION_USE_LIMIT_NANOS);
            mFigures.mUnhelpfulCount += before - times.size();
        }
    }

    private void measureSecond() {
        countUnusedPreemptions();
        long committed = 0;
        for (WorkerStatus worker : mState.work().workers().values()) {
            committed += worker.committed().cpuMillicores();
        }
        mFigures.mCommittedCoreSeconds += committed / 1000.0;
        int index = 0;
        for (FakeWorker worker : mWorkers.values()) {
            long phase = index++ * SECOND;
            if ((mNowNanos / SECOND * SECOND + phase) % SAMPLE_INTERVAL_NANOS != 0) {
                continue;
            }
            UsageSample sample = worker.sample(mNowNanos);
            long lag = (long) ((2 + 6 * mRandom.nextDouble()) * SECOND);
            if (mRandom.nextDouble() >= SAMPLE_LOSS_SHARE) {
                mSamplesInFlight
                        .computeIfAbsent(mNowNanos + lag, at -> new ArrayList<>())
                        .add(sample);
            }
        }
        for (TaskId id : mState.work().pending()) {
            TaskStatus task = mState.work().task(id).orElseThrow();
            boolean service = spec(id.job()).kind() == JobKind.SERVICE;
            if (service && task.placementCount() > 0) {
                mFigures.mServiceDownSeconds++;
            }
        }
    }

    private void decide() {
        List<UsageSample> arrived = new ArrayList<>();
        while (!mSamplesInFlight.isEmpty() && mSamplesInFlight.firstKey() <= mNowNanos) {
            arrived.addAll(mSamplesInFlight.pollFirstEntry().getValue());
        }
        long before = System.nanoTime();
        Decisions decisions = mDecider.decide(mState, arrived, mNowNanos);
        mDecideNanos += System.nanoTime() - before;
        mQueuedCommands.addAll(decisions.commands());
        for (Advice advice : decisions.advice()) {
            FakeTask task = find(advice.worker(), advice.task(), advice.token());
            if (task != null && advice.kind() == Advice.Kind.THROTTLE) {
                task.mThrottlePercent = advice.throttlePercent();
            } else if (task != null) {
                task.mNextCheckpointNanos = mNowNanos;
            }
        }
    }

    private void applyQueued() {
        List<Command> queued = mQueuedCommands;
        mQueuedCommands = new ArrayList<>();
        for (int from = 0; from < queued.size(); from += CommandBatch.MAX_COMMANDS) {
            int to = Math.min(queued.size(), from + CommandBatch.MAX_COMMANDS);
            CommandBatch batch =
                    new CommandBatch(
                            mAuthor,
                            1,
                            ++mSequence,
                            mNowNanos / 1_000_000,
                            queued.subList(from, to));
            for (CommandResult result : mState.apply(mOffset++, batch)) {
                if (result.accepted()) {
                    execute(result);
                } else {
                    mFigures.mRejectedCount++;
                }
                mDecider.onResult(result);
            }
        }
    }

    private void execute(CommandResult result) {
        switch (result.command()) {
            case PlaceTask place -> start(place, result.token());
            case StopTask stop -> stop(stop);
            case CancelJob cancel -> cancel(cancel.job());
            case EndTask end -> mSavedSeconds.put(end.task(), end.checkpoint() / 1000.0);
            default -> {}
        }
    }

    private void start(PlaceTask place, long token) {
        FakeWorker worker = mWorkers.get(place.worker());
        if (worker == null) {
            throw new IllegalStateException("placed on unknown worker " + place.worker());
        }
        JobSpec spec = spec(place.task().job());
        mFigures.mStartCount++;
        if (spec.urgent() || spec.kind() == JobKind.SERVICE) {
            mPreemptedNanos.remove(place.worker());
        }
        worker.start(
                new FakeTask(
                        mSeed,
                        place.task(),
                        spec,
                        token,
                        mTable.indexOf(spec.className()),
                        mSavedSeconds.getOrDefault(place.task(), 0.0)),
                mNowNanos);
    }

    private void stop(StopTask stop) {
        for (FakeWorker worker : mWorkers.values()) {
            FakeTask task = worker.task(stop.task(), stop.token());
            if (task != null) {
                countEviction(worker, task, stop.reason());
                worker.stop(task, stop.reason(), mNowNanos);
                return;
            }
        }
    }

    /** Counts an eviction, and whether it helps according to the true interference coefficients. */
    private void countEviction(FakeWorker worker, FakeTask task, StopReason reason) {
        if (reason == StopReason.PREEMPTED) {
            mFigures.mEvictionCount++;
            mPreemptedNanos
                    .computeIfAbsent(worker.mRegistration.worker(), id -> new ArrayList<>())
                    .add(mNowNanos);
            return;
        }
        if (reason != StopReason.INTERFERENCE) {
            return;
        }
        mFigures.mEvictionCount++;
        double seconds = RunFigures.seconds(mNowNanos);
        for (FakeTask service : worker.mTasks) {
            if (!service.service()) {
                continue;
            }
            double with = worker.latencyRatio(service, seconds);
            double without = worker.latencyRatioWithout(service, task, seconds);
            if (with * REQUEST_P99_FACTOR > 1 && without < with * (1 - MIN_HELPFUL_REDUCTION)) {
                return;
            }
        }
        mFigures.mUnhelpfulCount++;
    }

    private void cancel(JobId job) {
        for (FakeWorker worker : mWorkers.values()) {
            for (FakeTask task : worker.mTasks) {
                if (task.mTask.job().equals(job)) {
                    worker.stop(task, StopReason.CANCELLED, mNowNanos);
                }
            }
        }
    }

    private JobSpec spec(JobId job) {
        return Objects.requireNonNull(mState.work().jobs().get(job)).spec();
    }

    private @Nullable FakeTask find(WorkerId id, TaskId taskId, long token) {
        FakeWorker worker = mWorkers.get(id);
        return worker == null ? null : worker.task(taskId, token);
    }
}
