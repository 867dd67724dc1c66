package org.hornbeamward.dispatch.entry;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.config.QueueCodec;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.lib.JobId;

/** A message from the leader to the other entries. */
sealed interface FeedMessage {
    /**
     * A periodic message that shows that the leader is alive.
     *
     * @param epoch epoch of the leader
     * @param ready whether the leader has finished loading and decides
     * @param unconfirmedMillis time since the store last confirmed the leader
     * @param jobsAgeMillis age of the leader's view of the jobs topic
     * @param progressOffset offset after its last append to the progress topic
     * @param beyondShareWaitMillis how long the oldest job beyond the share of its client account
     *     has been waiting for workers; 0 if none waits
     */
    record Heartbeat(
            long epoch,
            boolean ready,
            long unconfirmedMillis,
            long jobsAgeMillis,
            long progressOffset,
            long beyondShareWaitMillis)
            implements FeedMessage {}

    /**
     * Phases of jobs: a part of the whole table or updates to it.
     *
     * @param first whether the receiver must clear its table first
     * @param last whether the receiver's table is complete after this message
     * @param rows jobs with their phases
     * @param queues queues of these and of earlier rows, as configured when the jobs were accepted
     */
    record Phases(boolean first, boolean last, List<StatusTable.Row> rows, List<QueueConfig> queues)
            implements FeedMessage {
        /** Copies the lists. */
        public Phases {
            rows = List.copyOf(rows);
            queues = List.copyOf(queues);
        }

        /** Creates a message without queues. */
        Phases(boolean first, boolean last, List<StatusTable.Row> rows) {
            this(first, last, rows, List.of());
        }
    }

    /**
     * Jobs that the leader has removed from its table.
     *
     * @param jobs ids of the jobs
     */
    record JobsRemoved(List<JobId> jobs) implements FeedMessage {
        /** Copies the ids. */
        public JobsRemoved {
            jobs = List.copyOf(jobs);
        }
    }

    /** Encodes a message. */
    static byte[] encode(FeedMessage message) {
        Writer writer = new Writer();
        switch (message) {
            case Heartbeat heartbeat ->
                    writer.integer(0)
                            .integer(heartbeat.epoch())
                            .bool(heartbeat.ready())
                            .integer(heartbeat.unconfirmedMillis())
                            .integer(heartbeat.jobsAgeMillis())
                            .integer(heartbeat.progressOffset())
                            .integer(heartbeat.beyondShareWaitMillis());
            case Phases phases ->
                    writer.integer(1)
                            .bool(phases.first())
                            .bool(phases.last())
                            .list(
                                    phases.rows(),
                                    row ->
                                            writer.array(4)
                                                    .text(row.job())
                                                    .text(row.queue())
                                                    .text(row.account())
                                                    .integer(row.phase().ordinal()))
                            // Behind what older builds read, which ignore the rest.
                            .list(
                                    phases.queues(),
                                    queue ->
                                            writer.array(2)
                                                    .text(queue.name())
                                                    .bytes(QueueCodec.encode(queue)));
            case JobsRemoved removed -> writer.integer(2).list(removed.jobs(), writer::text);
        }
        return writer.toBytes();
    }

    /**
     * Decodes a message.
     *
     * @throws Reader.MalformedInputException if the bytes are not a valid message
     */
    static FeedMessage decode(byte[] bytes) {
        Reader reader = new Reader(bytes);
        int type = reader.int32();
        return switch (type) {
            case 0 ->
                    new Heartbeat(
                            reader.integer(),
                            reader.bool(),
                            reader.integer(),
                            reader.integer(),
                            reader.integer(),
                            reader.integer());
            case 1 -> {
                boolean first = reader.bool();
                boolean last = reader.bool();
                int count = reader.array();
                List<StatusTable.Row> rows = new ArrayList<>();
                for (int index = 0; index < count; index++) {
                    reader.array(4);
                    rows.add(
                            new StatusTable.Row(
                                    reader.job(),
                                    reader.text(),
                                    reader.text(),
                                    reader.constant(JobPhase.values())));
                }
                int queueCount = reader.hasNext() ? reader.array() : 0;
                List<QueueConfig> queues = new ArrayList<>();
                for (int index = 0; index < queueCount; index++) {
                    reader.array(2);
                    queues.add(QueueCodec.decode(reader.text(), reader.bytes()));
                }
                yield new Phases(first, last, rows, queues);
            }
            case 2 -> {
                int count = reader.array();
                List<JobId> jobs = new ArrayList<>();
                for (int index = 0; index < count; index++) {
                    jobs.add(reader.job());
                }
                yield new JobsRemoved(jobs);
            }
            default -> throw reader.malformed("unknown feed message type " + type);
        };
    }
}
