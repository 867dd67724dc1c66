package org.hornbeamward.bench.recovery;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.function.BooleanSupplier;
import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;

/** Cluster of a deployment with jobs, and the figures that all failure scenarios report. */
final class RecoveryScenario {
    static final long SECOND = 1_000_000_000;
    static final int MEMBER_COUNT = 9;
    static final int WORKER_COUNT = 30;

    /**
     * Long tasks use at most half of the capacity, so that they still fit after any single failure.
     */
    static final int LONG_TASK_COUNT = 60;

    private static final int BACKLOG_TASK_COUNT = 6_000;
    private static final long BACKLOG_RUN_MILLIS = 2_000;
    private static final long LONG_RUN_MILLIS = 36_000_000;
    private static final long DRAIN_NANOS = 60 * SECOND;
    private static final long STEP_NANOS = 10_000_000;

    final VirtualCluster mCluster;
    private final Deployment mDeployment;

    RecoveryScenario(Deployment deployment, long seed) {
        mDeployment = deployment;
        mCluster = new VirtualCluster(deployment, MEMBER_COUNT, WORKER_COUNT, seed);
    }

    /** Submits more short tasks of half a worker each than can run at once. */
    void submitBacklog() {
        mCluster.submit("backlog", BACKLOG_TASK_COUNT, share(2), BACKLOG_RUN_MILLIS);
    }

    /** Submits tasks of a quarter of a worker each that run for hours. */
    void submitLongTasks() {
        mCluster.submit("long", LONG_TASK_COUNT, share(4), LONG_RUN_MILLIS);
    }

    private Resources share(int parts) {
        Resources capacity = mDeployment.capacity();
        return new Resources(capacity.cpuMillicores() / parts, capacity.memoryMib() / parts, 0);
    }

    void runFor(long nanos) {
        mCluster.time().runFor(nanos);
    }

    /** Runs until a condition holds and returns the elapsed milliseconds, at most the limit. */
    long millisUntil(BooleanSupplier condition, long limitNanos) {
        long startMillis = mCluster.time().nowMillis();
        long endNanos = mCluster.time().nowNanos() + limitNanos;
        while (!condition.getAsBoolean() && mCluster.time().nowNanos() < endNanos) {
            runFor(STEP_NANOS);
        }
        return mCluster.time().nowMillis() - startMillis;
    }

    /**
     * Returns the longest time from a moment to a worker's next start; the limit if it starts none.
     */
    static long lastStartMillis(List<VirtualWorker> workers, long sinceMillis, long limitMillis) {
        return workers.stream()
                .mapToLong(worker -> firstStartMillis(worker, sinceMillis, limitMillis))
                .max()
                .orElse(limitMillis);
    }

    static long firstStartMillis(VirtualWorker worker, long sinceMillis, long limitMillis) {
        return worker.mEvents.all().stream()
                .filter(RunHistory::isStart)
                .mapToLong(event -> event.monotonicMillis() - sinceMillis)
                .filter(millis -> millis > 0)
                .findFirst()
                .orElse(limitMillis);
    }

    /**
     * Returns the workers that started a short task recently, so they are not full of long tasks.
     */
    List<VirtualWorker> busyWorkers() {
        long sinceMillis = mCluster.time().nowMillis() - 2 * BACKLOG_RUN_MILLIS;
        return mCluster.workers().stream()
                .filter(worker -> firstStartMillis(worker, sinceMillis, -1) >= 0)
                .toList();
    }

    /**
     * Adds the counts that must be zero after every failure. The backlog is cancelled first, so
     * that evicted tasks that only wait for capacity held by the backlog are placed.
     */
    void addFaultCounts(String prefix, SortedMap<String, Double> figures) {
        mCluster.offer(new CancelJob("cancel-backlog", new JobId("backlog")));
        runFor(DRAIN_NANOS);
        RunHistory history = new RunHistory(mCluster);
        figures.put(prefix + "resumedTwiceCount", (double) history.overlapCount());
        figures.put(prefix + "lostTaskCount", (double) lostCount(history));
        figures.put(prefix + "wrongCheckpointCount", (double) wrongCheckpointCount(history));
    }

    /** Returns the number of long tasks that no live worker runs. */
    static long lostCount(RunHistory history) {
        long running =
                history.runs().entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith("long"))
                        .filter(
                                entry ->
                                        entry.getValue().stream()
                                                .anyMatch(run -> run.endMillis() == Long.MAX_VALUE))
                        .count();
        return history.runs().keySet().stream().filter(task -> task.startsWith("long")).count()
                - running;
    }

    private long wrongCheckpointCount(RunHistory history) {
        Map<Long, Long> recorded = LogReplay.checkpointsAtPlacement(mCluster.log());
        return history.runs().values().stream()
                .flatMap(runs -> runs.stream())
                .filter(run -> recorded.getOrDefault(run.token(), -1L) != run.checkpoint())
                .count();
    }
}
