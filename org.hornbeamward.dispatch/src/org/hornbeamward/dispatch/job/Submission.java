package org.hornbeamward.dispatch.job;

import java.util.List;
import java.util.Optional;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.config.QueueCodec;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.jspecify.annotations.Nullable;

/**
 * A submission, as it is stored.
 *
 * @param job id chosen by the caller
 * @param queue name of the queue
 * @param account name of the client account; empty for none
 * @param acceptedWallMillis time of day of the first attempt to submit the job to this entry, in
 *     Unix milliseconds
 * @param spec what to run
 * @param acceptedQueue configuration of the queue when the job was accepted, with which the job
 *     ends if a later configuration lacks the queue; null if an older build stored the submission,
 *     or if the queue's configuration is longer than {@link QueueCodec#MAX_BYTES}
 */
public record Submission(
        JobId job,
        String queue,
        String account,
        long acceptedWallMillis,
        JobSpec spec,
        @Nullable QueueConfig acceptedQueue) {
    private static final int FORMAT = 1;
    private static final int FIELD_COUNT = 7;

    /** A submission for a client account has the name of the account as one more field. */
    private static final int ACCOUNT_FIELD_COUNT = 8;

    private static final int STEP_FIELD_COUNT = 18;

    /**
     * Creates a submission without the configuration of its queue, as older builds stored it.
     *
     * @param job id chosen by the caller
     * @param queue name of the queue
     * @param account name of the client account; empty for none
     * @param acceptedWallMillis time of day of the first attempt, in Unix milliseconds
     * @param spec what to run
     */
    public Submission(
            JobId job, String queue, String account, long acceptedWallMillis, JobSpec spec) {
        this(job, queue, account, acceptedWallMillis, spec, null);
    }

    /**
     * Creates a submission without a client account and the configuration of its queue.
     *
     * @param job id chosen by the caller
     * @param queue name of the queue
     * @param acceptedWallMillis time of day of the first attempt, in Unix milliseconds
     * @param spec what to run
     */
    public Submission(JobId job, String queue, long acceptedWallMillis, JobSpec spec) {
        this(job, queue, "", acceptedWallMillis, spec, null);
    }

    /**
     * Replaces the configuration of the queue.
     *
     * @param replacement the other configuration; null for none
     * @return a submission that differs only in it
     */
    public Submission withAcceptedQueue(@Nullable QueueConfig replacement) {
        return new Submission(job, queue, account, acceptedWallMillis, spec, replacement);
    }

    /**
     * Encodes the submission, without the id, which is the record's key. The configuration of the
     * queue follows on the fields that older builds know; they read only these.
     *
     * @return the bytes
     */
    public byte[] encode() {
        Writer writer = new Writer();
        int fieldCount = account.isEmpty() ? FIELD_COUNT : ACCOUNT_FIELD_COUNT;
        writer.array(fieldCount).integer(FORMAT).text(queue).integer(acceptedWallMillis);
        writer.text(spec.payload())
                .integer(spec.repeatCount())
                .array(2)
                .integer(spec.firstDueWallMillis())
                .integer(spec.intervalMillis());
        writer.list(spec.steps(), step -> write(writer, step));
        if (!account.isEmpty()) {
            writer.text(account);
        }
        byte[] queueBytes = acceptedQueue == null ? new byte[0] : QueueCodec.encode(acceptedQueue);
        if (queueBytes.length > 0 && queueBytes.length <= QueueCodec.MAX_BYTES) {
            writer.bytes(queueBytes);
        }
        return writer.toBytes();
    }

    /**
     * Decodes a submission.
     *
     * @param job id from the record's key
     * @param bytes the record's value
     * @return the submission
     * @throws Reader.MalformedInputException if the bytes are no submission
     */
    public static Submission decode(JobId job, byte[] bytes) {
        Reader reader = new Reader(bytes);
        int fieldCount = reader.array();
        if (fieldCount != FIELD_COUNT && fieldCount != ACCOUNT_FIELD_COUNT) {
            throw reader.malformed("a submission has no " + fieldCount + " fields");
        }
        int format = reader.int32();
        if (format != FORMAT) {
            throw reader.malformed("submission format " + format + " is not known");
        }
        String queue = reader.text();
        long acceptedWallMillis = reader.integer();
        String payload = reader.text();
        int repeatCount = reader.int32();
        reader.array(2);
        long firstDueWallMillis = reader.integer();
        long intervalMillis = reader.integer();
        StepSpec[] steps = new StepSpec[reader.array()];
        for (int index = 0; index < steps.length; index++) {
            steps[index] = readStep(reader);
        }
        String account = fieldCount == ACCOUNT_FIELD_COUNT ? reader.text() : "";
        JobSpec spec =
                new JobSpec(
                        payload, List.of(steps), repeatCount, firstDueWallMillis, intervalMillis);
        Optional<String> problem = spec.problem();
        if (problem.isPresent()) {
            throw reader.malformed(problem.get());
        }
        QueueConfig acceptedQueue = reader.hasNext() ? readQueue(job, queue, reader) : null;
        return new Submission(job, queue, account, acceptedWallMillis, spec, acceptedQueue);
    }

    /** The job was accepted, so it is kept even if the configuration of its queue is malformed. */
    private static @Nullable QueueConfig readQueue(JobId job, String queue, Reader reader) {
        try {
            return QueueCodec.decode(queue, reader.bytes());
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "queue in the submission of job " + job);
            return null;
        }
    }

    private static void write(Writer writer, StepSpec step) {
        writer.array(STEP_FIELD_COUNT)
                .integer(step.taskCount())
                .resources(step.size())
                .integer(step.estimateMillis())
                .list(step.dependencies(), dependency -> writer.integer(dependency))
                .bool(step.checkpointing())
                .bool(step.gang())
                .bool(step.sameRack())
                .text(step.requiredLabel())
                .text(step.dataRack())
                .integer(step.maxPerWorker())
                .bool(step.speculative())
                .bool(step.longRunning())
                .text(step.image())
                .integer(step.tailTargetMillis())
                .bool(step.filler())
                .integer(step.maxUnavailableCount());
    }

    private static StepSpec readStep(Reader reader) {
        reader.array(STEP_FIELD_COUNT);
        int taskCount = reader.int32();
        Resources size = reader.resources();
        long estimateMillis = reader.integer();
        Integer[] dependencies = new Integer[reader.array()];
        for (int index = 0; index < dependencies.length; index++) {
            dependencies[index] = reader.int32();
        }
        return new StepSpec(
                taskCount,
                size,
                estimateMillis,
                List.of(dependencies),
                reader.bool(),
                reader.bool(),
                reader.bool(),
                reader.text(),
                reader.text(),
                reader.int32(),
                reader.bool(),
                reader.bool(),
                reader.text(),
                reader.integer(),
                reader.bool(),
                reader.int32());
    }
}
