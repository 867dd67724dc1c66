package org.hornbeamward.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.lib.TaskId;

/** Measures the processor time to decode and apply records of placements and ends of tasks. */
final class ApplyMeasure {
    private static final int[] BATCH_SIZES = {1, 5, 20, 100};
    private static final double[] SHARES = {0.25, 0.5, 1};
    private static final int WARM_UP_COUNT = 2_000;
    private static final int REPEAT_COUNT = 501;

    private final Report mReport;
    private final long mSeed;

    ApplyMeasure(Report report, long seed) {
        mReport = report;
        mSeed = seed;
    }

    void run() {
        MeasuredCluster target = new MeasuredCluster(ClusterSize.TARGET, mSeed);
        measure(target, 1, WARM_UP_COUNT);
        double[] x = new double[BATCH_SIZES.length];
        double[] nanos = new double[BATCH_SIZES.length];
        for (int i = 0; i < BATCH_SIZES.length; i++) {
            x[i] = BATCH_SIZES[i];
            nanos[i] = measure(target, BATCH_SIZES[i], REPEAT_COUNT);
        }
        mReport.series("apply.nanos.placeAndEnd", "Task", x, nanos);
        double[] tasks = new double[SHARES.length];
        double[] byState = new double[SHARES.length];
        for (int i = 0; i < SHARES.length; i++) {
            ClusterSize size = ClusterSize.TARGET.withTasks(SHARES[i]);
            MeasuredCluster cluster = new MeasuredCluster(size, mSeed);
            tasks[i] = size.taskCount();
            byState[i] = measure(cluster, 1, REPEAT_COUNT);
        }
        mReport.series("apply.nanos.placeAndEndOfOne", "RunningTask", tasks, byState);
        mReport.add("apply.nanos.RenewMember", renew(target));
    }

    /** Returns the median total time of a record of placements and a record of their ends. */
    private static double measure(MeasuredCluster cluster, int batchSize, int count) {
        double[] nanos = new double[count];
        for (int i = 0; i < count; i++) {
            JobSpec spec = cluster.job(JobKind.BATCH, batchSize);
            cluster.apply(List.of(MeasuredCluster.submit(spec)));
            List<PlaceTask> places = new ArrayList<>();
            for (int index = 0; index < batchSize; index++) {
                places.add(cluster.placeNext(new TaskId(spec.id(), index)));
            }
            nanos[i] = apply(cluster, places);
            List<TaskId> tasks = places.stream().map(PlaceTask::task).toList();
            nanos[i] += apply(cluster, tasks.stream().map(cluster::endOf).toList());
        }
        return Meter.median(nanos);
    }

    private static double renew(MeasuredCluster cluster) {
        double[] nanos = new double[REPEAT_COUNT];
        for (int i = 0; i < REPEAT_COUNT; i++) {
            nanos[i] = apply(cluster, List.of(new RenewMember(1, 60 + i % 2)));
        }
        return Meter.median(nanos);
    }

    private static double apply(MeasuredCluster cluster, List<? extends Command> commands) {
        byte[] record = BatchCodec.encode(cluster.batch(0, commands));
        long offset = cluster.takeOffset();
        long before = Meter.cpuNanos();
        CommandBatch batch = BatchCodec.decode("measured", record).get();
        boolean accepted =
                cluster.mState.apply(offset, batch).stream().allMatch(result -> result.accepted());
        long took = Meter.cpuNanos() - before;
        if (!accepted) {
            throw new IllegalStateException("a command was rejected");
        }
        return took;
    }
}
