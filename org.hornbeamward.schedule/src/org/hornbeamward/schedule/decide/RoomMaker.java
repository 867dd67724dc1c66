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
 * Makes room on a full cluster: stops batch tasks for urgent work and displaced services, and keeps
 * the next free room of one worker for a task that smaller ones would otherwise overtake for ever.
 */
final class RoomMaker {
    /** A preempted task that has not ended by then is taken as stuck; another worker is tried. */
    private static final long PREEMPTION_NANOS = 10_000_000_000L;

    /** Longest time for which room is kept for a waiting task. */
    private static final long WAITING_NANOS = 300_000_000_000L;

    /** Workers compared per preemption; bounds the work of one call. */
    private static final int WORKERS_COMPARED = 48;

    /** At most one worker in this many is kept for waiting tasks. */
    private static final int WORKERS_PER_WAITING = 16;

    /** Cost in seconds of stopping a task of which the start or checkpoint is unknown. */
    private static final double UNKNOWN_SECONDS = 600;

    private record Plan(WorkerModel worker, List<Placement> victims, double cost) {}

    private final ClusterModel mCluster;
    private final InFlightDecisions mInFlight;
    private final Reservations mReservations;
    private final Placer mPlacer;
    private int mCursor;

    RoomMaker(
            ClusterModel cluster,
            InFlightDecisions inFlight,
            Reservations reservations,
            Placer placer) {
        mCluster = cluster;
        mInFlight = inFlight;
        mReservations = reservations;
        mPlacer = placer;
    }

    /** Stops batch tasks so that an urgent or displaced task gets room; at most once at a time. */
    List<Command> preempt(ClusterState state, TaskStatus task, JobSpec job, long nowNanos) {
        Reservation held = mReservations.of(task.task());
        if (held != null && held.preempting()) {
            return List.of();
        }
        Plan best = null;
        List<WorkerModel> workers = List.copyOf(mCluster.workers());
        int compared = 0;
        for (int step = 0; step < workers.size() && compared < WORKERS_COMPARED; step++) {
            WorkerModel worker = workers.get(Math.floorMod(mCursor++, workers.size()));
            if (!job.resources().fitsIn(worker.capacity())
                    || !mPlacer.usable(job, task.failedWorkers(), worker, nowNanos)) {
                continue;
            }
            compared++;
            Plan plan = plan(state, worker, job, nowNanos);
            if (plan != null && (best == null || plan.cost() < best.cost())) {
                best = plan;
            }
        }
        if (best == null) {
            return List.of();
        }
        mReservations.add(
                task.task(),
                new Reservation(best.worker(), job.resources(), true, nowNanos + PREEMPTION_NANOS));
        List<Command> stops = new ArrayList<>();
        for (Placement victim : best.victims()) {
            mInFlight.stop(victim.mTask.token(), nowNanos);
            stops.add(
                    new StopTask(victim.mTask.task(), victim.mTask.token(), StopReason.PREEMPTED));
        }
        return stops;
    }

    /** Keeps the worker with the most free room for a task that has waited long. */
    void keepRoom(TaskStatus task, JobSpec job, long nowNanos) {
        boolean taken = mReservations.of(task.task()) != null;
        long most = Math.max(1, mCluster.workers().size() / WORKERS_PER_WAITING);
        if (taken || mReservations.waitingCount() >= most) {
            return;
        }
        WorkerModel best = null;
        double bestShare = Double.NEGATIVE_INFINITY;
        for (WorkerModel worker : mCluster.workers()) {
            if (!job.resources().fitsIn(worker.capacity())
                    || !mPlacer.usable(job, task.failedWorkers(), worker, nowNanos)) {
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
                    new Reservation(best, job.resources(), false, nowNanos + WAITING_NANOS));
        }
    }

    private @Nullable Plan plan(
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
        return new Plan(worker, victims, cost);
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

    /** Estimates the work that a stop now would lose. */
    private static double lostCoreSeconds(Placement placement, long nowNanos) {
        JobSpec spec = placement.mTask.spec();
        double seconds =
                spec.checkpointable()
                        ? (nowNanos - placement.mCheckpointNanos) / 1e9
                        : (nowNanos - placement.mFirstSeenNanos) / 1e9 + UNKNOWN_SECONDS;
        if (!placement.mStartKnown && placement.mCheckpointNanos == placement.mFirstSeenNanos) {
            seconds += UNKNOWN_SECONDS;
        }
        return seconds * spec.resources().cpuMillicores() / 1000.0;
    }
}
