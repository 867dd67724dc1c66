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

/** Room that becomes free on a worker and is kept for one task. */
final class Reservations {
    /**
     * One reservation.
     *
     * @param worker where
     * @param need resources of the task
     * @param preempting true if tasks were stopped for it
     * @param expiresNanos end of the reservation
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

    /** Returns how many reservations wait without a preemption. */
    long waitingCount() {
        return mByTask.values().stream().filter(held -> !held.preempting()).count();
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
                mCluster.touch(reservation.worker());
            }
        }
    }

    /** Releases what has expired or is no longer needed. */
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
