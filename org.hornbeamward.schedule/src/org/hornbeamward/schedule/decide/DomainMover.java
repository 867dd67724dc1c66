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
 * Empties failure domains that were taken out: services at once, batch work spread over the notice
 * so that it keeps computing, with time left for the last checkpoints.
 */
final class DomainMover {
    /** Services of one failure domain that move at the same time, as a share of those placed. */
    private static final double MOVING_SHARE = 0.25;

    private static final int MOVING_AT_LEAST = 4;

    /** Share of the notice after which batch work begins to stop. */
    private static final double BATCH_BEGIN_SHARE = 0.4;

    /** Share of the notice by which all batch work has been told to stop. */
    private static final double BATCH_END_SHARE = 0.8;

    /** Time that the last stops have for their checkpoint if the notice allows it. */
    private static final long LAST_STOP_NANOS = 10_000_000_000L;

    private final ClusterModel mCluster;
    private final InFlightDecisions mInFlight;
    private final DomainRamp mRamp;

    /** Batch tasks in a failure domain when their stops began, by the version of its take-out. */
    private final Map<Long, Integer> mFirstBatchCount = new HashMap<>();

    DomainMover(ClusterModel cluster, InFlightDecisions inFlight, DomainRamp ramp) {
        mCluster = cluster;
        mInFlight = inFlight;
        mRamp = ramp;
    }

    List<Command> move(ClusterState state, int commandLimit, long nowNanos) {
        List<Command> commands = new ArrayList<>();
        for (Map.Entry<FailureDomainId, DomainStatus> entry :
                state.domains().changed().entrySet()) {
            if (!entry.getValue().inService() && !entry.getValue().lost()) {
                int limit = commandLimit - commands.size();
                commands.addAll(move(state, entry.getKey(), entry.getValue(), limit, nowNanos));
            }
        }
        return commands;
    }

    private List<Command> move(
            ClusterState state,
            FailureDomainId domain,
            DomainStatus status,
            int limit,
            long nowNanos) {
        List<Placement> services = new ArrayList<>();
        List<Placement> batch = new ArrayList<>();
        int movingServiceCount = collect(state, domain, services, batch);
        long sinceNanos = mRamp.sinceChangeNanos(domain, nowNanos);
        long noticeNanos = status.noticeMillis() * 1_000_000L;
        boolean late = sinceNanos >= noticeNanos * BATCH_BEGIN_SHARE;
        int most = Math.max(MOVING_AT_LEAST, (int) (MOVING_SHARE * services.size()));
        int serviceStops = late ? services.size() : Math.max(0, most - movingServiceCount);
        List<Placement> stopping = new ArrayList<>(services.stream().limit(serviceStops).toList());
        if (late) {
            stopping.addAll(batchDue(status, batch, sinceNanos, noticeNanos));
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

    private int collect(
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

    /** Picks the batch tasks to stop by now: those with the oldest checkpoints last. */
    private List<Placement> batchDue(
            DomainStatus status, List<Placement> batch, long sinceNanos, long noticeNanos) {
        double begin = noticeNanos * BATCH_BEGIN_SHARE;
        double end =
                Math.max(
                        begin,
                        Math.min(noticeNanos * BATCH_END_SHARE, noticeNanos - LAST_STOP_NANOS));
        if (sinceNanos >= end) {
            return batch;
        }
        int first = mFirstBatchCount.computeIfAbsent(status.version(), unused -> batch.size());
        int remaining = (int) Math.ceil(first * (end - sinceNanos) / (end - begin));
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
