package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.schedule.decide.Reservations.Reservation;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.TaskStatus;
import org.jspecify.annotations.Nullable;

/**
 * Provides capacity on a full cluster: preempts batch tasks for urgent work and displaced services,
 * and reserves a worker for a task that smaller tasks would otherwise starve.
 */
final class Preemptor {
    /**
     * Time after which a preempted task that has not ended is considered stuck and another worker
     * is tried.
     */
    private static final long PREEMPTION_TIMEOUT_NANOS = 10_000_000_000L;

    /** Maximum time for which a worker is reserved for a waiting task. */
    private static final long MAX_RESERVATION_NANOS = 300_000_000_000L;

    /** Maximum number of workers compared per preemption; bounds the work of a call. */
    private static final int MAX_WORKERS_COMPARED = 48;

    /** Number of workers in the cluster per worker that may be reserved for a waiting task. */
    private static final int WORKERS_PER_RESERVATION = 16;

    /**
     * Assumed additional loss, in seconds of run time, of stopping a task that is not
     * checkpointable, or whose start and last checkpoint are unknown.
     */
    private static final double UNKNOWN_LOSS_SECONDS = 600;

    private record PreemptionPlan(WorkerModel worker, List<Placement> victims, double cost) {}

    private final ClusterModel mCluster;
    private final InFlightDecisions mInFlight;
    private final Reservations mReservations;
    private final Placer mPlacer;
    private int mNextWorkerIndex;

    Preemptor(
            ClusterModel cluster,
            InFlightDecisions inFlight,
            Reservations reservations,
            Placer placer) {
        mCluster = cluster;
        mInFlight = inFlight;
        mReservations = reservations;
        mPlacer = placer;
    }

    /**
     * Stops batch tasks to free capacity for an urgent or displaced task, unless a preemption for
     * the task is already under way.
     */
    List<Command> preempt(ClusterState state, TaskStatus task, JobSpec job, long nowNanos) {
        Reservation reservation = mReservations.of(task.task());
        if (reservation != null && reservation.preempting()) {
            return List.of();
        }
        PreemptionPlan best = null;
        List<WorkerModel> workers = List.copyOf(mCluster.workers());
        int compared = 0;
        for (int step = 0; step < workers.size() && compared < MAX_WORKERS_COMPARED; step++) {
            WorkerModel worker = workers.get(Math.floorMod(mNextWorkerIndex++, workers.size()));
            if (!job.resources().fitsIn(worker.capacity())
                    || !mPlacer.isUsable(job, task.failedWorkers(), worker, nowNanos)) {
                continue;
            }
            compared++;
            PreemptionPlan plan = plan(state, worker, job, nowNanos);
            if (plan != null && (best == null || plan.cost() < best.cost())) {
                best = plan;
            }
        }
        if (best == null) {
            return List.of();
        }
        mReservations.add(
                task.task(),
                new Reservation(
                        best.worker(), job.resources(), true, nowNanos + PREEMPTION_TIMEOUT_NANOS));
        List<Command> stops = new ArrayList<>();
        for (Placement victim : best.victims()) {
            mInFlight.stop(victim.mTask.token(), nowNanos);
            stops.add(
                    new StopTask(victim.mTask.task(), victim.mTask.token(), StopReason.PREEMPTED));
        }
        return stops;
    }

    /** Reserves the worker that comes closest to fitting a task that has waited for a long time. */
    void reserveWorker(TaskStatus task, JobSpec job, long nowNanos) {
        boolean reserved = mReservations.of(task.task()) != null;
        long maxReservations = Math.max(1, mCluster.workers().size() / WORKERS_PER_RESERVATION);
        if (reserved || mReservations.nonPreemptingCount() >= maxReservations) {
            return;
        }
        WorkerModel best = null;
        double bestShare = Double.NEGATIVE_INFINITY;
        for (WorkerModel worker : mCluster.workers()) {
            if (!job.resources().fitsIn(worker.capacity())
                    || !mPlacer.isUsable(job, task.failedWorkers(), worker, nowNanos)) {
                continue;
            }
            double share = -job.resources().minus(worker.free()).dominantShareOf(worker.capacity());
            if (share > bestShare) {
                best = worker;
                bestShare = share;
            }
        }
        if (best != null) {
            mReservations.add(
                    task.task(),
                    new Reservation(
                            best, job.resources(), false, nowNanos + MAX_RESERVATION_NANOS));
        }
    }

    private @Nullable PreemptionPlan plan(
            ClusterState state, WorkerModel worker, JobSpec job, long nowNanos) {
        Resources available = worker.free();
        List<Placement> candidates = new ArrayList<>();
        for (Placement placement : worker.placements()) {
            if (isStopping(state, placement)) {
                available = available.plus(placement.mTask.spec().resources());
            } else if (placement.mTask.batch() && !placement.mTask.spec().urgent()) {
                candidates.add(placement);
            }
        }
        candidates.sort(
                Comparator.comparingDouble(
                                (Placement placement) -> lostCoreSeconds(placement, nowNanos))
                        .thenComparing(placement -> placement.mTask.task()));
        List<Placement> victims = new ArrayList<>();
        for (Placement candidate : candidates) {
            if (job.resources().fitsIn(available)) {
                break;
            }
            available = available.plus(candidate.mTask.spec().resources());
            victims.add(candidate);
        }
        if (!job.resources().fitsIn(available)) {
            return null;
        }
        Resources spare = available.minus(job.resources());
        double cost = 0;
        for (int i = victims.size() - 1; i >= 0; i--) {
            Placement victim = victims.get(i);
            if (victim.mTask.spec().resources().fitsIn(spare)) {
                spare = spare.minus(victim.mTask.spec().resources());
                victims.remove(i);
            } else {
                cost += 1 + lostCoreSeconds(victim, nowNanos);
            }
        }
        return new PreemptionPlan(worker, victims, cost);
    }

    private boolean isStopping(ClusterState state, Placement placement) {
        if (mInFlight.isStopping(placement.mTask.token())) {
            return true;
        }
        TaskId id = placement.mTask.task();
        return state.work()
                .task(id)
                .filter(status -> status.state() instanceof TaskState.Stopping)
                .isPresent();
    }

    /** Estimates the work, in core seconds, that is lost if the task is stopped now. */
    private static double lostCoreSeconds(Placement placement, long nowNanos) {
        JobSpec spec = placement.mTask.spec();
        double seconds =
                spec.checkpointable()
                        ? (nowNanos - placement.mCheckpointNanos) / 1e9
                        : (nowNanos - placement.mFirstSeenNanos) / 1e9 + UNKNOWN_LOSS_SECONDS;
        if (!placement.mStartKnown && placement.mCheckpointNanos == placement.mFirstSeenNanos) {
            seconds += UNKNOWN_LOSS_SECONDS;
        }
        return seconds * spec.resources().cpuMillicores() / 1000.0;
    }
}
