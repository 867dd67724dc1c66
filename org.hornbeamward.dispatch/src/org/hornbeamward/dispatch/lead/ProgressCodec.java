package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.lib.WorkerId;

/**
 * Encodes and decodes a job's progress. Tasks that have never run are left out, and so are
 * checkpoints that are stored by themselves ({@link ProgressRecords}); earlier builds stored all
 * checkpoints here. Up to 220 bytes are taken by a task.
 */
final class ProgressCodec {
    private static final int FORMAT = 1;

    /** Number of fields of a task without a run. */
    private static final int TASK_FIELD_COUNT = 7;

    /** Number of fields of a run. */
    private static final int RUN_FIELD_COUNT = 3;

    private ProgressCodec() {}

    /**
     * A run that may be present on a worker.
     *
     * @param task task that it runs
     * @param attempt number of the run
     * @param worker worker that received the start order
     * @param incarnationStartWallMillis start time of the worker's incarnation that received the
     *     order
     * @param mayHoldLongestLease whether the worker had restarted shortly before, so that deadlines
     *     on an earlier clock may have given it its longest lease
     */
    record LiveRun(
            Task task,
            int attempt,
            WorkerId worker,
            long incarnationStartWallMillis,
            boolean mayHoldLongestLease) {}

    static byte[] encode(Job job) {
        List<Task> tasks = new ArrayList<>();
        boolean ended = job.phase == JobPhase.COMPLETED;
        job.forEachTask(
                task -> {
                    if (task.run != null || (!ended && (task.done || task.lastAttempt > 0))) {
                        tasks.add(task);
                    }
                });
        Writer writer = new Writer();
        writer.array(3).integer(FORMAT).integer(job.phase.ordinal());
        writer.list(tasks, task -> write(writer, task));
        return writer.toBytes();
    }

    private static void write(Writer writer, Task task) {
        Run run = task.run;
        boolean countsGang = task.step.spec.gang() && task.lastFailedAttempt > 0;
        writer.array(TASK_FIELD_COUNT + (run == null ? 0 : RUN_FIELD_COUNT) + (countsGang ? 1 : 0))
                .integer(task.name.occurrence())
                .integer(task.name.step())
                .integer(task.name.index())
                .bool(task.done)
                .integer(task.failureCount)
                .integer(task.lastAttempt)
                .text(task.done || !task.checkpoint.isShort() ? "" : task.checkpoint.value());
        if (run != null) {
            writer.integer(run.attempt)
                    .text(run.worker.id())
                    .integer(storedIncarnation(run.worker));
        }
        if (countsGang) {
            writer.integer(task.lastFailedAttempt);
        }
    }

    /**
     * Returns the start time of a worker's incarnation, negated while the worker may hold its
     * longest lease. Earlier builds take that for another incarnation and count with the longest
     * lease too.
     */
    private static long storedIncarnation(WorkerSession worker) {
        long startWallMillis = worker.incarnationStartWallMillis();
        return worker.mayHoldLongestLease() ? -startWallMillis : startWallMillis;
    }

    /**
     * Decodes progress into a job that has none yet. A job whose cancellation is known stays
     * cancelled unless the progress has a final phase, also if the rest of it is malformed.
     *
     * @param job job whose progress is decoded
     * @param bytes its encoded progress, and possibly the end of an earlier one
     * @return the runs that may be present on workers
     * @throws Reader.MalformedInputException if the bytes are not the progress of this job
     */
    static List<LiveRun> decode(Job job, byte[] bytes) {
        Reader reader = new Reader(bytes);
        reader.array(3);
        int format = reader.int32();
        if (format != FORMAT) {
            throw reader.malformed("progress format " + format + " is not known");
        }
        JobPhase committedPhase = reader.constant(JobPhase.values());
        job.committedPhase = committedPhase;
        if (job.phase != JobPhase.CANCELLED || committedPhase.terminal()) {
            job.phase = committedPhase;
        }
        List<LiveRun> live = new ArrayList<>();
        int count = reader.array();
        job.placed = count > 0;
        for (int index = 0; index < count; index++) {
            readTask(job, reader, live);
        }
        return live;
    }

    private static void readTask(Job job, Reader reader, List<LiveRun> live) {
        int fieldCount = reader.array();
        Task task = job.task(reader.int32(), reader.int32(), reader.int32());
        if (task == null) {
            throw reader.malformed("job " + job.submission.job() + " has no such task");
        }
        if (reader.bool()) {
            task.step.markDone(task);
        }
        task.failureCount = reader.int32();
        task.lastAttempt = reader.int32();
        task.checkpoint.restore(reader.text());
        if (fieldCount >= TASK_FIELD_COUNT + RUN_FIELD_COUNT) {
            int attempt = reader.int32();
            WorkerId worker = reader.worker();
            long stored = reader.integer();
            live.add(new LiveRun(task, attempt, worker, Math.abs(stored), stored < 0));
            fieldCount -= RUN_FIELD_COUNT;
        }
        if (fieldCount > TASK_FIELD_COUNT) {
            task.lastFailedAttempt = reader.int32();
        }
    }
}
