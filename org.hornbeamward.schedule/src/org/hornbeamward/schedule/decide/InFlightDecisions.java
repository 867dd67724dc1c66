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

/** Decisions that were made and not yet seen applied or rejected. */
final class InFlightDecisions {
    /**
     * A decision that is neither applied nor rejected after this time is forgotten: the log was
     * unavailable. If it is applied later, the state machine rejects the repeat.
     */
    static final long EXPIRY_NANOS = 10_000_000_000L;

    private record Placing(WorkerModel worker, ResidentTask task, long expiresNanos) {}

    private final ClusterModel mCluster;
    private final Map<TaskId, Placing> mPlacing = new LinkedHashMap<>();
    private final Map<Long, Long> mStopExpiryByToken = new LinkedHashMap<>();
    private final Map<TeamId, Resources> mUsedByTeam = new HashMap<>();

    InFlightDecisions(ClusterModel cluster) {
        mCluster = cluster;
    }

    int size() {
        return mPlacing.size() + mStopExpiryByToken.size();
    }

    boolean isPlacing(TaskId task) {
        return mPlacing.containsKey(task);
    }

    boolean isStopping(long token) {
        return mStopExpiryByToken.containsKey(token);
    }

    Resources usedBy(TeamId team) {
        return mUsedByTeam.getOrDefault(team, Resources.NONE);
    }

    void place(WorkerModel worker, ResidentTask task, long nowNanos) {
        mPlacing.put(task.task(), new Placing(worker, task, nowNanos + EXPIRY_NANOS));
        mUsedByTeam.merge(task.spec().team(), task.spec().resources(), Resources::plus);
        mCluster.addInFlight(worker, task);
    }

    void stop(long token, long nowNanos) {
        mStopExpiryByToken.put(token, nowNanos + EXPIRY_NANOS);
    }

    void settle(PlaceTask place) {
        Placing placing = mPlacing.get(place.task());
        if (placing != null && placing.worker().worker().equals(place.worker())) {
            remove(placing);
        }
    }

    void settle(StopTask stop) {
        mStopExpiryByToken.remove(stop.token());
    }

    /** Forgets what has expired and what the state shows as settled. */
    void prune(ClusterState state, long nowNanos) {
        mStopExpiryByToken.values().removeIf(expiresNanos -> expiresNanos - nowNanos <= 0);
        for (Placing placing : new ArrayList<>(mPlacing.values())) {
            TaskStatus task = state.work().task(placing.task().task()).orElse(null);
            boolean pending = task != null && task.state() instanceof TaskState.Pending;
            boolean gone = mCluster.worker(placing.worker().worker()) != placing.worker();
            if (!pending || gone || placing.expiresNanos() - nowNanos <= 0) {
                remove(placing);
            }
        }
    }

    /** Returns the tasks being placed. */
    List<TaskId> placing() {
        return List.copyOf(mPlacing.keySet());
    }

    private void remove(Placing placing) {
        mPlacing.remove(placing.task().task());
        mUsedByTeam.merge(
                placing.task().spec().team(),
                Resources.NONE.minus(placing.task().spec().resources()),
                Resources::plus);
        mCluster.removeInFlight(placing.worker(), placing.task());
    }
}
