package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.DomainStatus;
import org.hornbeamward.state.TaskState;

/**
 * Drains failure domains that were taken out. Services begin to move immediately; stops of batch
 * tasks are spread over the notice period so that batch work keeps running, with time left for the
 * last checkpoints.
 */
final class DomainDrainer {
    /** Share of the placed services of a failure domain that may move at the same time. */
    private static final double CONCURRENT_MOVE_SHARE = 0.25;

    /** Number of services that may always move at the same time, whatever the share. */
    private static final int MIN_CONCURRENT_MOVES = 4;

    /** Share of the notice period after which batch tasks begin to be stopped. */
    private static final double BATCH_STOP_BEGIN_SHARE = 0.4;

    /** Share of the notice period after which the stop of all batch tasks has been requested. */
    private static final double BATCH_STOP_END_SHARE = 0.8;

    /**
     * Time reserved for the checkpoints of the tasks stopped last, if the notice period allows it.
     */
    private static final long FINAL_CHECKPOINT_NANOS = 10_000_000_000L;

    private final ClusterModel mCluster;
    private final InFlightDecisions mInFlight;
    private final DomainRamp mRamp;

    /**
     * Number of batch tasks in a failure domain when their stops began, by the version of the
     * take-out.
     */
    private final Map<Long, Integer> mInitialBatchCounts = new HashMap<>();

    DomainDrainer(ClusterModel cluster, InFlightDecisions inFlight, DomainRamp ramp) {
        mCluster = cluster;
        mInFlight = inFlight;
        mRamp = ramp;
    }

    List<Command> drain(ClusterState state, int commandLimit, long nowNanos) {
        List<Command> commands = new ArrayList<>();
        for (Map.Entry<FailureDomainId, DomainStatus> entry :
                state.domains().changedDomains().entrySet()) {
            if (!entry.getValue().inService() && !entry.getValue().lost()) {
                int limit = commandLimit - commands.size();
                commands.addAll(drain(state, entry.getKey(), entry.getValue(), limit, nowNanos));
            }
        }
        return commands;
    }

    private List<Command> drain(
            ClusterState state,
            FailureDomainId domain,
            DomainStatus status,
            int limit,
            long nowNanos) {
        List<Placement> services = new ArrayList<>();
        List<Placement> batch = new ArrayList<>();
        int movingServiceCount = collectPlacements(state, domain, services, batch);
        long sinceNanos = mRamp.sinceChangeNanos(domain, nowNanos);
        long noticeNanos = status.noticeMillis() * 1_000_000L;
        boolean batchStopsBegun = sinceNanos >= noticeNanos * BATCH_STOP_BEGIN_SHARE;
        int maxMovingCount =
                Math.max(MIN_CONCURRENT_MOVES, (int) (CONCURRENT_MOVE_SHARE * services.size()));
        int serviceStopCount =
                batchStopsBegun
                        ? services.size()
                        : Math.max(0, maxMovingCount - movingServiceCount);
        List<Placement> stopping =
                new ArrayList<>(services.stream().limit(serviceStopCount).toList());
        if (batchStopsBegun) {
            stopping.addAll(dueBatchStops(status, batch, sinceNanos, noticeNanos));
        }
        List<Command> commands = new ArrayList<>();
        for (Placement placement : stopping.subList(0, Math.min(limit, stopping.size()))) {
            mInFlight.stop(placement.mTask.token(), nowNanos);
            commands.add(
                    new StopTask(
                            placement.mTask.task(),
                            placement.mTask.token(),
                            StopReason.DOMAIN_OUT));
        }
        return commands;
    }

    private int collectPlacements(
            ClusterState state,
            FailureDomainId domain,
            List<Placement> services,
            List<Placement> batch) {
        int movingServiceCount = 0;
        for (WorkerModel worker : mCluster.workers()) {
            if (!worker.mStatus.registration().failureDomain().equals(domain)) {
                continue;
            }
            for (Placement placement : worker.placements()) {
                boolean placed =
                        !mInFlight.isStopping(placement.mTask.token())
                                && state.work()
                                        .task(placement.mTask.task())
                                        .filter(task -> task.state() instanceof TaskState.Placed)
                                        .isPresent();
                if (!placed) {
                    movingServiceCount += placement.mTask.batch() ? 0 : 1;
                } else if (placement.mTask.batch()) {
                    batch.add(placement);
                } else {
                    services.add(placement);
                }
            }
        }
        return movingServiceCount;
    }

    /**
     * Returns the batch tasks whose stop is due; tasks with the oldest checkpoints are stopped
     * last.
     */
    private List<Placement> dueBatchStops(
            DomainStatus status, List<Placement> batch, long sinceNanos, long noticeNanos) {
        double begin = noticeNanos * BATCH_STOP_BEGIN_SHARE;
        double end =
                Math.max(
                        begin,
                        Math.min(
                                noticeNanos * BATCH_STOP_END_SHARE,
                                noticeNanos - FINAL_CHECKPOINT_NANOS));
        if (sinceNanos >= end) {
            return batch;
        }
        int initialCount =
                mInitialBatchCounts.computeIfAbsent(status.version(), unused -> batch.size());
        int remaining = (int) Math.ceil(initialCount * (end - sinceNanos) / (end - begin));
        return batch.stream()
                .filter(placement -> placement.mTask.spec().checkpointable())
                .sorted(
                        Comparator.comparingLong(
                                        (Placement placement) -> -placement.mCheckpointNanos)
                                .thenComparing(placement -> placement.mTask.task()))
                .limit(Math.max(0, batch.size() - remaining))
                .toList();
    }
}
