package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.schedule.policy.ResidentTask;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.TaskStatus;

/** Decisions that have been made but not yet seen as applied or rejected. */
final class InFlightDecisions {
    /**
     * Time after which a decision that was neither applied nor rejected is dropped, because the log
     * was unavailable. If it is applied later after all, the state machine rejects the repeated
     * decision.
     */
    static final long EXPIRY_NANOS = 10_000_000_000L;

    private record InFlightPlacement(WorkerModel worker, ResidentTask task, long expiresNanos) {}

    private final ClusterModel mCluster;
    private final Map<TaskId, InFlightPlacement> mPlacements = new LinkedHashMap<>();
    private final Map<Long, Long> mStopExpiryByToken = new LinkedHashMap<>();
    private final Map<TeamId, Resources> mUsedByTeam = new HashMap<>();

    InFlightDecisions(ClusterModel cluster) {
        mCluster = cluster;
    }

    int size() {
        return mPlacements.size() + mStopExpiryByToken.size();
    }

    boolean isPlacing(TaskId task) {
        return mPlacements.containsKey(task);
    }

    boolean isStopping(long token) {
        return mStopExpiryByToken.containsKey(token);
    }

    Resources usedBy(TeamId team) {
        return mUsedByTeam.getOrDefault(team, Resources.NONE);
    }

    void place(WorkerModel worker, ResidentTask task, long nowNanos) {
        mPlacements.put(task.task(), new InFlightPlacement(worker, task, nowNanos + EXPIRY_NANOS));
        mUsedByTeam.merge(task.spec().team(), task.spec().resources(), Resources::plus);
        mCluster.addInFlight(worker, task);
    }

    void stop(long token, long nowNanos) {
        mStopExpiryByToken.put(token, nowNanos + EXPIRY_NANOS);
    }

    void settle(PlaceTask place) {
        InFlightPlacement placement = mPlacements.get(place.task());
        if (placement != null && placement.worker().worker().equals(place.worker())) {
            remove(placement);
        }
    }

    void settle(StopTask stop) {
        mStopExpiryByToken.remove(stop.token());
    }

    /** Drops expired decisions and those that the replicated state shows as settled. */
    void prune(ClusterState state, long nowNanos) {
        mStopExpiryByToken.values().removeIf(expiresNanos -> expiresNanos - nowNanos <= 0);
        for (InFlightPlacement placement : new ArrayList<>(mPlacements.values())) {
            TaskStatus task = state.work().task(placement.task().task()).orElse(null);
            boolean pending = task != null && task.state() instanceof TaskState.Pending;
            boolean workerRemoved =
                    mCluster.worker(placement.worker().worker()) != placement.worker();
            if (!pending || workerRemoved || placement.expiresNanos() - nowNanos <= 0) {
                remove(placement);
            }
        }
    }

    /** Returns the tasks with a placement in flight. */
    List<TaskId> placingTasks() {
        return List.copyOf(mPlacements.keySet());
    }

    private void remove(InFlightPlacement placement) {
        mPlacements.remove(placement.task().task());
        mUsedByTeam.merge(
                placement.task().spec().team(),
                Resources.NONE.minus(placement.task().spec().resources()),
                Resources::plus);
        mCluster.removeInFlight(placement.worker(), placement.task());
    }
}
