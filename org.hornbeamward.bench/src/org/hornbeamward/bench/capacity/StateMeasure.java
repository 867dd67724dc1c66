package org.hornbeamward.bench.capacity;

import org.hornbeamward.state.StateSnapshot;

/** Measures memory and snapshots of the replicated state. */
final class StateMeasure {
    private static final double[] SHARES = {0.25, 0.5, 0.75, 1};

    private final Report mReport;
    private final long mSeed;

    StateMeasure(Report report, long seed) {
        mReport = report;
        mSeed = seed;
    }

    void run() {
        ClusterSize target = ClusterSize.TARGET;
        double[] tasks = new double[SHARES.length];
        double[] taskBytes = new double[SHARES.length];
        double[] ended = new double[SHARES.length];
        double[] endedBytes = new double[SHARES.length];
        double[] workers = new double[SHARES.length];
        double[] workerBytes = new double[SHARES.length];
        // The first measurement also counts classes and caches that stay loaded, so it is
        // discarded.
        memory(target.withTasks(0.1));
        for (int i = 0; i < SHARES.length; i++) {
            ClusterSize byTasks = target.withEndedJobs(0).withTasks(SHARES[i]);
            ClusterSize byJobs =
                    target.withTasks(0).withEndedJobs((int) (target.endedJobCount() * SHARES[i]));
            ClusterSize byWorkers =
                    target.withTasks(0)
                            .withEndedJobs(0)
                            .withWorkers((int) (target.workerCount() * SHARES[i]));
            tasks[i] = byTasks.taskCount();
            ended[i] = byJobs.endedJobCount() * ClusterSize.TASKS_PER_BATCH_JOB;
            workers[i] = byWorkers.workerCount();
            taskBytes[i] = memory(byTasks);
            endedBytes[i] = memory(byJobs);
            workerBytes[i] = memory(byWorkers);
        }
        mReport.series("state.memoryBytes", "RunningTask", tasks, taskBytes);
        mReport.series("state.memoryBytes", "EndedTask", ended, endedBytes);
        mReport.series("state.memoryBytes", "Worker", workers, workerBytes);
        mReport.add("state.memoryBytes.atTarget", memory(target));
        snapshots(target);
    }

    private double memory(ClusterSize size) {
        return Meter.retainedBytes(() -> new MeasuredCluster(size, mSeed).mState);
    }

    private void snapshots(ClusterSize target) {
        double[] tasks = new double[SHARES.length];
        double[] bytes = new double[SHARES.length];
        double[] encodeNanos = new double[SHARES.length];
        double[] decodeNanos = new double[SHARES.length];
        for (int i = 0; i < SHARES.length; i++) {
            ClusterSize size = target.withTasks(SHARES[i]);
            size = size.withEndedJobs((int) (target.endedJobCount() * SHARES[i]));
            MeasuredCluster cluster = new MeasuredCluster(size, mSeed);
            byte[] encoded = StateSnapshot.encode(cluster.mState);
            tasks[i] = size.taskCount();
            bytes[i] = encoded.length;
            encodeNanos[i] = Meter.medianCpuNanos(() -> StateSnapshot.encode(cluster.mState));
            decodeNanos[i] =
                    Meter.medianCpuNanos(() -> StateSnapshot.decode("measured", encoded).get());
        }
        mReport.series("snapshot.bytes", "RunningTask", tasks, bytes);
        mReport.series("snapshot.encodeNanos", "RunningTask", tasks, encodeNanos);
        mReport.series("snapshot.decodeNanos", "RunningTask", tasks, decodeNanos);
    }
}
