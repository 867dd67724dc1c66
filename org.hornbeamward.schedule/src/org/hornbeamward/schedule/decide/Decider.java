package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.RejectJob;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.schedule.policy.PlacementPolicy;
import org.hornbeamward.schedule.policy.Progress;
import org.hornbeamward.schedule.policy.Reduction;
import org.hornbeamward.schedule.policy.ResidentTask;
import org.hornbeamward.schedule.usage.UsageSample;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.TaskStatus;
import org.jspecify.annotations.Nullable;

/**
 * Decides placements, evictions and throttles. Deterministic and free of I/O: the same sequence of
 * calls yields the same decisions. Decisions in flight are tracked until they are applied, rejected
 * or expired, so that none is repeated and no worker is overcommitted. Confined to the thread that
 * applies the log.
 */
public final class Decider {
    /** Maximum number of commands returned by one call; bounds the work of a call. */
    public static final int MAX_COMMANDS_PER_CALL = 128;

    /**
     * Maximum number of decisions in flight, so that they do not accumulate while the log is
     * unavailable.
     */
    public static final int MAX_IN_FLIGHT = 512;

    /** Waiting time after which a worker is reserved for a service task that fits nowhere. */
    private static final long SERVICE_RESERVE_AFTER_NANOS = 5_000_000_000L;

    /** Waiting time after which a worker is reserved for a batch task that fits nowhere. */
    private static final long BATCH_RESERVE_AFTER_NANOS = 60_000_000_000L;

    private final PlacementPolicy mPolicy;
    private final ClusterModel mCluster = new ClusterModel();
    private final InFlightDecisions mInFlight = new InFlightDecisions(mCluster);
    private final Reservations mReservations = new Reservations(mCluster);
    private final DomainRamp mRamp = new DomainRamp(mCluster);
    private final DomainDrainer mDrainer = new DomainDrainer(mCluster, mInFlight, mRamp);
    private final Feasibility mFeasibility = new Feasibility();
    private final PendingQueue mPendingQueue = new PendingQueue();
    private final Placer mPlacer;
    private final Preemptor mPreemptor;
    private long mNowNanos;

    /**
     * Creates a decider for the workers of all regions.
     *
     * @param policy scores workers; must not be shared with another decider
     */
    public Decider(PlacementPolicy policy) {
        mPolicy = policy;
        mPlacer = new Placer(mCluster, mRamp, policy);
        mPreemptor = new Preemptor(mCluster, mInFlight, mReservations, mPlacer);
    }

    /**
     * Restricts the decider to the workers of the given regions.
     *
     * @param regions the regions that this member decides for
     */
    public void setRegions(Set<RegionId> regions) {
        Set<RegionId> copy = Set.copyOf(regions);
        mCluster.setRegions(copy::contains);
        mPendingQueue.setOwnRegions(copy);
    }

    /**
     * Makes decisions from the replicated state, the new usage samples and the current time.
     *
     * @param state the replicated state; not kept
     * @param newSamples samples that arrived since the last call, in any order
     * @param nowNanos the caller's monotonic clock, never less than at the last call
     * @return commands to append and advice to supervisors
     */
    public Decisions decide(ClusterState state, Collection<UsageSample> newSamples, long nowNanos) {
        mNowNanos = nowNanos;
        mCluster.refresh(state, nowNanos);
        mRamp.refresh(state, nowNanos);
        mInFlight.prune(state, nowNanos);
        mReservations.prune(state, nowNanos);
        mPlacer.beginCall(nowNanos);
        mFeasibility.beginCall(state, nowNanos);
        List<Command> commands = new ArrayList<>();
        List<Advice> advice = new ArrayList<>();
        for (UsageSample sample : newSamples) {
            observe(state, sample, commands, advice);
        }
        commands.addAll(mDrainer.drain(state, remainingCommandCount(commands), nowNanos));
        placePendingTasks(state, commands);
        return new Decisions(commands, advice);
    }

    /**
     * Processes the result of a command. Must be called for every command read from the log,
     * including those of other members.
     *
     * @param result the result of the command at its log offset
     */
    public void onResult(CommandResult result) {
        switch (result.command()) {
            case PlaceTask place -> {
                if (!result.accepted()) {
                    mInFlight.settle(place);
                }
            }
            case StopTask stop -> mInFlight.settle(stop);
            case RecordCheckpoint record -> onCheckpoint(record, result.accepted());
            default -> {}
        }
    }

    /**
     * Returns the decisions in flight, for metrics.
     *
     * @return placements and stops neither applied nor rejected nor expired
     */
    public int inFlightCount() {
        return mInFlight.size();
    }

    /**
     * Returns how often the policy scored a worker, for metrics of the cost of decisions.
     *
     * @return count since the start
     */
    public long scoreCount() {
        return mPlacer.scoreCount();
    }

    private void onCheckpoint(RecordCheckpoint record, boolean accepted) {
        if (!accepted) {
            return;
        }
        Progress progress = mCluster.onCheckpoint(record.token(), record.checkpoint(), mNowNanos);
        if (progress != null) {
            mPolicy.observeProgress(progress);
        }
    }

    private int remainingCommandCount(List<Command> commands) {
        return Math.max(
                0,
                Math.min(
                        MAX_COMMANDS_PER_CALL - commands.size(), MAX_IN_FLIGHT - mInFlight.size()));
    }

    private void observe(
            ClusterState state, UsageSample sample, List<Command> commands, List<Advice> advice) {
        WorkerModel worker = mCluster.worker(sample.worker());
        if (worker == null || !worker.accepts(sample)) {
            return;
        }
        if (mPolicy.usesMeasurements()) {
            worker.deductExcessUse(sample);
        }
        mPolicy.observe(sample, worker, mNowNanos);
        for (Reduction reduction : mPolicy.proposeReductions(worker, mNowNanos)) {
            applyReduction(state, worker, reduction, commands, advice);
        }
    }

    private void applyReduction(
            ClusterState state,
            WorkerModel worker,
            Reduction reduction,
            List<Command> commands,
            List<Advice> advice) {
        ResidentTask task = reduction.task();
        boolean placed =
                state.work()
                        .task(task.task())
                        .filter(status -> status.state() instanceof TaskState.Placed)
                        .isPresent();
        if (!placed || mInFlight.isStopping(task.token())) {
            return;
        }
        if (reduction.kind() == Reduction.Kind.STOP) {
            if (remainingCommandCount(commands) > 0) {
                mInFlight.stop(task.token(), mNowNanos);
                commands.add(new StopTask(task.task(), task.token(), StopReason.INTERFERENCE));
            }
            return;
        }
        Advice.Kind kind =
                reduction.kind() == Reduction.Kind.THROTTLE
                        ? Advice.Kind.THROTTLE
                        : Advice.Kind.CHECKPOINT;
        advice.add(
                new Advice(
                        kind,
                        worker.worker(),
                        task.task(),
                        task.token(),
                        reduction.throttlePercent()));
    }

    private void placePendingTasks(ClusterState state, List<Command> commands) {
        List<PendingJob> candidates = new ArrayList<>();
        for (PendingJob job : mPendingQueue.jobs(state, mInFlight, mNowNanos)) {
            String infeasibleReason = mFeasibility.infeasibleReason(state, job.spec());
            if (infeasibleReason == null) {
                mFeasibility.markFeasible(job.spec().id());
                candidates.add(job);
            } else if (remainingCommandCount(commands) > 0
                    && mFeasibility.shouldReject(job.spec().id(), mNowNanos)) {
                commands.add(new RejectJob(job.spec().id(), infeasibleReason));
            }
        }
        new FairSharePass(
                        state,
                        mInFlight,
                        (job, task) -> tryPlace(state, job, task, commands),
                        job -> preference(state, job))
                .run(candidates);
    }

    /** Rates the next task of a job for the selection among the oldest jobs of a team. */
    private double preference(ClusterState state, PendingJob job) {
        TaskId head = job.head();
        TaskStatus task = head == null ? null : state.work().task(head).orElse(null);
        Placer.Choice choice = task == null ? null : findWorker(job, task);
        return choice == null
                ? Double.NEGATIVE_INFINITY
                : mPolicy.preference(choice.score(), waitedNanos(job));
    }

    private long waitedNanos(PendingJob job) {
        return mNowNanos - mPendingQueue.firstTriedNanos(job.spec().id(), mNowNanos);
    }

    private FairSharePass.Outcome tryPlace(
            ClusterState state, PendingJob job, TaskId id, List<Command> commands) {
        TaskStatus task = state.work().task(id).orElse(null);
        if (task == null || remainingCommandCount(commands) == 0) {
            return FairSharePass.Outcome.LIMIT_REACHED;
        }
        Placer.Choice choice = findWorker(job, task);
        if (choice != null) {
            WorkerModel worker = choice.worker();
            mReservations.release(id);
            mInFlight.place(worker, new ResidentTask(id, 0, job.spec()), mNowNanos);
            mPendingQueue.onTaskPlaced(job.spec().id(), mNowNanos);
            commands.add(
                    new PlaceTask(
                            id, worker.worker(), worker.mStatus.registration().incarnation()));
            return FairSharePass.Outcome.PLACED;
        }
        boolean displaced = job.spec().kind() == JobKind.SERVICE && task.placementCount() > 0;
        if (job.spec().urgent() || displaced) {
            commands.addAll(mPreemptor.preempt(state, task, job.spec(), mNowNanos));
            return mReservations.of(id) == null
                    ? FairSharePass.Outcome.NO_CAPACITY
                    : FairSharePass.Outcome.RESERVED;
        }
        long reserveAfterNanos =
                job.spec().kind() == JobKind.SERVICE
                        ? SERVICE_RESERVE_AFTER_NANOS
                        : BATCH_RESERVE_AFTER_NANOS;
        if (mNowNanos - job.mWaitingSinceNanos > reserveAfterNanos) {
            mPreemptor.reserveWorker(task, job.spec(), mNowNanos);
        }
        return FairSharePass.Outcome.NO_CAPACITY;
    }

    /** Finds a worker; capacity reserved for the task counts as free for this task only. */
    private Placer.@Nullable Choice findWorker(PendingJob job, TaskStatus task) {
        Reservations.Reservation reservation = mReservations.of(task.task());
        if (reservation != null) {
            reservation.worker().unreserve(reservation.need());
            boolean fits =
                    reservation.need().fitsIn(reservation.worker().free())
                            && mPlacer.isUsable(
                                    job.spec(),
                                    task.failedWorkers(),
                                    reservation.worker(),
                                    mNowNanos);
            reservation.worker().reserve(reservation.need());
            if (fits) {
                return new Placer.Choice(reservation.worker(), Double.POSITIVE_INFINITY);
            }
        }
        return mPlacer.find(job.spec(), task, waitedNanos(job), mNowNanos);
    }
}
