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
 * Decides placements, evictions and throttles. Deterministic and without I/O: the same calls give
 * the same decisions. It remembers its decisions in flight until it sees them applied or rejected,
 * so that it neither repeats them nor overbooks a worker. Confined to the thread that applies the
 * log.
 */
public final class Decider {
    /** Most commands returned by one call; bounds its work. */
    public static final int MAX_COMMANDS_PER_CALL = 128;

    /** Most decisions in flight, so that an outage of the log does not pile them up. */
    public static final int MAX_IN_FLIGHT = 512;

    /** Age after which room is kept for a service without room. */
    private static final long SERVICE_WAIT_NANOS = 5_000_000_000L;

    /** Age after which room is kept for a batch job without room. */
    private static final long BATCH_WAIT_NANOS = 60_000_000_000L;

    private final PlacementPolicy mPolicy;
    private final ClusterModel mCluster = new ClusterModel();
    private final InFlightDecisions mInFlight = new InFlightDecisions(mCluster);
    private final Reservations mReservations = new Reservations(mCluster);
    private final DomainRamp mRamp = new DomainRamp(mCluster);
    private final DomainMover mMover = new DomainMover(mCluster, mInFlight, mRamp);
    private final Feasibility mFeasibility = new Feasibility();
    private final PendingQueue mQueue = new PendingQueue();
    private final Placer mPlacer;
    private final RoomMaker mRoomMaker;
    private long mNowNanos;

    /**
     * Creates a decider for the workers of all regions.
     *
     * @param policy rates workers; used by this decider only
     */
    public Decider(PlacementPolicy policy) {
        mPolicy = policy;
        mPlacer = new Placer(mCluster, mRamp, policy);
        mRoomMaker = new RoomMaker(mCluster, mInFlight, mReservations, mPlacer);
    }

    /**
     * Limits the decider to the workers of some regions.
     *
     * @param regions the regions that this member decides for
     */
    public void setRegions(Set<RegionId> regions) {
        Set<RegionId> copy = Set.copyOf(regions);
        mCluster.setRegions(copy::contains);
        mQueue.setOwnRegions(copy);
    }

    /**
     * Decides from the state, the new samples and the time.
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
        commands.addAll(mMover.move(state, room(commands), nowNanos));
        place(state, commands);
        return new Decisions(commands, advice);
    }

    /**
     * Notes what became of a command; to be called for every command read from the log, including
     * those of other members.
     *
     * @param result the result at its offset
     */
    public void onResult(CommandResult result) {
        switch (result.command()) {
            case PlaceTask place -> {
                if (!result.accepted()) {
                    mInFlight.settle(place);
                }
            }
            case StopTask stop -> mInFlight.settle(stop);
            case RecordCheckpoint record -> noteCheckpoint(record, result.accepted());
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
     * Returns how often the policy rated a worker, for metrics of the cost of decisions.
     *
     * @return count since the start
     */
    public long scoreCount() {
        return mPlacer.scoreCount();
    }

    private void noteCheckpoint(RecordCheckpoint record, boolean accepted) {
        if (!accepted) {
            return;
        }
        Progress progress = mCluster.noteCheckpoint(record.token(), record.checkpoint(), mNowNanos);
        if (progress != null) {
            mPolicy.observeProgress(progress);
        }
    }

    private int room(List<Command> commands) {
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
            worker.tighten(sample);
        }
        mPolicy.observe(sample, worker, mNowNanos);
        for (Reduction reduction : mPolicy.reduce(worker, mNowNanos)) {
            reduce(state, worker, reduction, commands, advice);
        }
    }

    private void reduce(
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
            if (room(commands) > 0) {
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

    private void place(ClusterState state, List<Command> commands) {
        List<PendingJob> candidates = new ArrayList<>();
        for (PendingJob job : mQueue.jobs(state, mInFlight, mNowNanos)) {
            String obstacle = mFeasibility.obstacle(state, job.spec());
            if (obstacle == null) {
                mFeasibility.clear(job.spec().id());
                candidates.add(job);
            } else if (room(commands) > 0 && mFeasibility.reject(job.spec().id(), mNowNanos)) {
                commands.add(new RejectJob(job.spec().id(), obstacle));
            }
        }
        new QueueRound(
                        state,
                        mInFlight,
                        (job, task) -> tryPlace(state, job, task, commands),
                        job -> preference(state, job))
                .run(candidates);
    }

    /** Rates the head of a job for the choice among the oldest jobs of a team. */
    private double preference(ClusterState state, PendingJob job) {
        TaskId head = job.head();
        TaskStatus task = head == null ? null : state.work().task(head).orElse(null);
        Placer.Choice choice = task == null ? null : find(job, task);
        return choice == null
                ? Double.NEGATIVE_INFINITY
                : mPolicy.preference(choice.score(), waitedNanos(job));
    }

    private long waitedNanos(PendingJob job) {
        return mNowNanos - mQueue.triedSinceNanos(job.spec().id(), mNowNanos);
    }

    private QueueRound.Outcome tryPlace(
            ClusterState state, PendingJob job, TaskId id, List<Command> commands) {
        TaskStatus task = state.work().task(id).orElse(null);
        if (task == null || room(commands) == 0) {
            return QueueRound.Outcome.FULL;
        }
        Placer.Choice choice = find(job, task);
        if (choice != null) {
            WorkerModel worker = choice.worker();
            mReservations.release(id);
            mInFlight.place(worker, new ResidentTask(id, 0, job.spec()), mNowNanos);
            mQueue.notePlaced(job.spec().id(), mNowNanos);
            commands.add(
                    new PlaceTask(
                            id, worker.worker(), worker.mStatus.registration().incarnation()));
            return QueueRound.Outcome.PLACED;
        }
        boolean displaced = job.spec().kind() == JobKind.SERVICE && task.placementCount() > 0;
        if (job.spec().urgent() || displaced) {
            commands.addAll(mRoomMaker.preempt(state, task, job.spec(), mNowNanos));
            return mReservations.of(id) == null
                    ? QueueRound.Outcome.NO_ROOM
                    : QueueRound.Outcome.WAITS;
        }
        long waitNanos =
                job.spec().kind() == JobKind.SERVICE ? SERVICE_WAIT_NANOS : BATCH_WAIT_NANOS;
        if (mNowNanos - job.mWaitingSinceNanos > waitNanos) {
            mRoomMaker.keepRoom(task, job.spec(), mNowNanos);
        }
        return QueueRound.Outcome.NO_ROOM;
    }

    /** Finds a worker; room that is kept for the task counts as free for it alone. */
    private Placer.@Nullable Choice find(PendingJob job, TaskStatus task) {
        Reservations.Reservation held = mReservations.of(task.task());
        if (held != null) {
            held.worker().unreserve(held.need());
            boolean fits =
                    held.need().fitsIn(held.worker().free())
                            && mPlacer.usable(
                                    job.spec(), task.failedWorkers(), held.worker(), mNowNanos);
            held.worker().reserve(held.need());
            if (fits) {
                return new Placer.Choice(held.worker(), Double.POSITIVE_INFINITY);
            }
        }
        return mPlacer.find(job.spec(), task, waitedNanos(job), mNowNanos);
    }
}
