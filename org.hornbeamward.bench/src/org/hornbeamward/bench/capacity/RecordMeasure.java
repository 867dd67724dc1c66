package org.hornbeamward.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.command.ReportFigures;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.FencingToken;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.state.HistogramCodec;

/**
 * Measures encoded bytes: the slope is the size of a command, the intercept that of the record
 * header.
 */
final class RecordMeasure {
    private static final int[] BATCH_SIZES = {1, 2, 5, 20, 50};
    private static final int HISTOGRAM_VALUE_COUNT = 6_000;

    private final Report mReport;
    private final MeasuredCluster mCluster;
    private final SplittableRandom mRandom;

    RecordMeasure(Report report, long seed) {
        mReport = report;
        mCluster = new MeasuredCluster(ClusterSize.TARGET.withTasks(0).withEndedJobs(0), seed);
        mRandom = new SplittableRandom(seed);
    }

    void run() {
        measure(
                "SubmitJob",
                i ->
                        MeasuredCluster.submit(
                                mCluster.job(JobKind.BATCH, ClusterSize.TASKS_PER_BATCH_JOB)));
        measure(
                "PlaceTask",
                i ->
                        new PlaceTask(
                                task(i),
                                MeasuredCluster.worker(i),
                                MeasuredCluster.incarnation(i)));
        measure("RecordCheckpoint", i -> new RecordCheckpoint(task(i), token(i), 600));
        measure("StopTask", i -> new StopTask(task(i), token(i), StopReason.INTERFERENCE));
        measure("EndTask", i -> new EndTask(task(i), token(i), TaskOutcome.FINISHED, 600));
        measure("RenewMember", i -> new RenewMember(token(i), 60));
        measure("ChangeSlotsOfOne", i -> new ChangeSlots(slots(1), token(i)));
        measure("ChangeSlotsOfTen", i -> new ChangeSlots(slots(10), token(i)));
        measure("ReportFiguresOfOneService", i -> new ReportFigures(1_000, histograms(1)));
        measure("ReportFiguresOfTenServices", i -> new ReportFigures(1_000, histograms(10)));
        measure("PublishConfigOfOneEntry", this::publish);
    }

    private void measure(String name, IntFunction<Command> create) {
        double[] x = new double[BATCH_SIZES.length];
        double[] bytes = new double[BATCH_SIZES.length];
        for (int i = 0; i < BATCH_SIZES.length; i++) {
            List<Command> commands = new ArrayList<>();
            for (int index = 0; index < BATCH_SIZES[i]; index++) {
                commands.add(create.apply(index));
            }
            CommandBatch batch =
                    new CommandBatch(
                            MeasuredCluster.instance(1),
                            MeasuredCluster.incarnation(1),
                            1_000_000,
                            MeasuredCluster.WALL_MILLIS,
                            commands);
            x[i] = BATCH_SIZES[i];
            bytes[i] = BatchCodec.encode(batch).length;
        }
        mReport.series("record.bytes." + name, "Command", x, bytes);
    }

    private static TaskId task(int index) {
        return new TaskId(new JobId(String.format("letters-%06d", index)), index % 20);
    }

    private static long token(int index) {
        return FencingToken.of(MeasuredCluster.FIRST_OFFSET, index);
    }

    private static TreeMap<EndpointId, Integer> slots(int count) {
        TreeMap<EndpointId, Integer> changes = new TreeMap<>();
        for (int i = 0; i < count; i++) {
            changes.put(new EndpointId(String.format("front-%03d", i)), i % 2 == 0 ? 2 : -2);
        }
        return changes;
    }

    /**
     * Creates histograms of one minute at 100 requests per second and service, with a median of 60
     * ms.
     */
    private TreeMap<String, byte[]> histograms(int serviceCount) {
        TreeMap<String, byte[]> histograms = new TreeMap<>();
        for (int service = 0; service < serviceCount; service++) {
            Histogram histogram = new Histogram(3);
            for (int i = 0; i < HISTOGRAM_VALUE_COUNT; i++) {
                double deviation = mRandom.nextGaussian() * 0.5;
                histogram.recordValue((long) (60_000 * Math.exp(deviation)));
            }
            histograms.put("loan-" + service, HistogramCodec.encode(histogram));
        }
        return histograms;
    }

    private Command publish(int index) {
        TreeMap<String, String> entries = new TreeMap<>();
        entries.put("team/team-" + index, MeasuredCluster.teamEntry(2));
        return new PublishConfig(
                "7f3c1f52-8a5e-4c1b-9d51-00000000000" + index % 10, token(index), entries);
    }
}
