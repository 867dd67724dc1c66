package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.TaskStatus;
import org.jspecify.annotations.Nullable;

/**
 * Capacity of workers reserved for single tasks, including capacity that has yet to become free.
 */
final class Reservations {
    /**
     * A reservation for one task.
     *
     * @param worker the reserved worker
     * @param need resources of the task
     * @param preempting true if tasks were stopped for the reservation
     * @param expiresNanos time at which the reservation expires
     */
    record Reservation(WorkerModel worker, Resources need, boolean preempting, long expiresNanos) {}

    private final ClusterModel mCluster;
    private final Map<TaskId, Reservation> mByTask = new LinkedHashMap<>();

    Reservations(ClusterModel cluster) {
        mCluster = cluster;
    }

    @Nullable Reservation of(TaskId task) {
        return mByTask.get(task);
    }

    /** Returns the number of reservations made without preemption. */
    long nonPreemptingCount() {
        return mByTask.values().stream().filter(reservation -> !reservation.preempting()).count();
    }

    void add(TaskId task, Reservation reservation) {
        release(task);
        mByTask.put(task, reservation);
        reservation.worker().reserve(reservation.need());
    }

    void release(TaskId task) {
        Reservation reservation = mByTask.remove(task);
        if (reservation != null) {
            reservation.worker().unreserve(reservation.need());
            if (mCluster.worker(reservation.worker().worker()) == reservation.worker()) {
                mCluster.markChanged(reservation.worker());
            }
        }
    }

    /** Releases reservations that have expired or are no longer needed. */
    void prune(ClusterState state, long nowNanos) {
        for (Map.Entry<TaskId, Reservation> entry : new ArrayList<>(mByTask.entrySet())) {
            Reservation reservation = entry.getValue();
            TaskStatus task = state.work().task(entry.getKey()).orElse(null);
            boolean pending = task != null && task.state() instanceof TaskState.Pending;
            boolean usable =
                    mCluster.worker(reservation.worker().worker()) == reservation.worker()
                            && !reservation.worker().mStatus.quarantined()
                            && state.domains()
                                    .status(
                                            reservation
                                                    .worker()
                                                    .mStatus
                                                    .registration()
                                                    .failureDomain())
                                    .inService();
            if (!pending || !usable || reservation.expiresNanos() - nowNanos <= 0) {
                release(entry.getKey());
            }
        }
    }
}
