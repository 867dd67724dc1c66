package org.hornbeamward.dispatch.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.hornbeamward.dispatch.config.QueueCodec;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.transport.frame.Frames;
import org.junit.jupiter.api.Test;

/** The routes of the known jobs, at the leader and on their way to the other entries. */
class AcceptedQueuesTest {
    private final StatusTable mTable = new StatusTable();

    private static QueueConfig queue(String name, String pathPrefix) {
        return new QueueConfig(name, "Host", pathPrefix, "pool", 0, 3, 2.0, 250, false, false, 0);
    }

    private static JobId job(int number) {
        return new JobId("job" + number);
    }

    private void add(int number, QueueConfig queue) {
        mTable.put(new StatusTable.Row(job(number), queue.name(), "", JobPhase.QUEUED));
        mTable.putAcceptedQueue(queue);
    }

    private static void receive(StatusTable table, FeedMessage message) {
        FeedMessage.Phases phases =
                (FeedMessage.Phases) FeedMessage.decode(FeedMessage.encode(message));
        if (phases.first()) {
            table.clear();
        }
        phases.rows().forEach(table::put);
        phases.queues().forEach(table::putAcceptedQueue);
    }

    /** Guards against a job that is shown on another route than its own. */
    @Test
    void aJobIsFoundOnlyOnItsRoute() {
        add(1, queue("a", "/a/"));
        add(2, queue("b", "/b/"));

        assertEquals(Optional.of(queue("a", "/a/")), mTable.acceptedQueue(job(1), "host", "/a/"));
        assertTrue(mTable.acceptedQueue(job(1), "host", "/b/").isEmpty());
        assertTrue(mTable.acceptedQueue(job(1), "other", "/a/").isEmpty());
        assertTrue(mTable.acceptedQueue(job(3), "host", "/a/").isEmpty());
    }

    /** Guards against memory that grows with every route that there has ever been. */
    @Test
    void routesWithoutJobsAreDropped() {
        add(0, queue("kept", "/kept/"));
        for (int number = 1; number <= 10 * AcceptedQueues.USUAL_COUNT; number++) {
            add(number, queue("queue" + number, "/" + number + "/"));
            mTable.remove(job(number));
            assertTrue(mTable.acceptedQueues().size() <= AcceptedQueues.USUAL_COUNT);
        }

        assertTrue(mTable.acceptedQueue(job(0), "host", "/kept/").isPresent());
    }

    /** Guards against an entry that connects to the leader and lacks the routes of earlier jobs. */
    @Test
    void theWholeTableTellsAllRoutesInMessagesOfBoundedSize() {
        int count = 2 * FeedBatch.QUEUES_PER_MESSAGE + 1;
        int otherBytes = QueueCodec.encode(queue("", "")).length;
        String longest = "p".repeat(QueueCodec.MAX_BYTES - otherBytes - 2 - 4);
        for (int number = 0; number < count; number++) {
            add(number, queue("queue" + number, longest + (1_000 + number)));
        }
        List<FeedMessage> messages = FeedBatch.ofTable(mTable);

        StatusTable received = new StatusTable();
        for (FeedMessage message : messages) {
            assertTrue(FeedMessage.encode(message).length < Frames.MAX_BYTES);
            receive(received, message);
        }

        assertEquals(List.copyOf(mTable.rows()), List.copyOf(received.rows()));
        assertEquals(mTable.acceptedQueues(), received.acceptedQueues());
        List<Boolean> lasts = new ArrayList<>();
        messages.forEach(message -> lasts.add(((FeedMessage.Phases) message).last()));
        assertEquals(List.of(false, false, true), lasts);
    }

    /** Guards against an entry that never learns the route of a job that was accepted later. */
    @Test
    void theFirstReportOfAJobTellsItsRoute() {
        FeedBatch batch = new FeedBatch();
        StatusTable received = new StatusTable();
        for (int number = 0; number < 2 * FeedBatch.QUEUES_PER_MESSAGE; number++) {
            batch.add(
                    new StatusTable.Row(job(number), "queue" + number, "", JobPhase.QUEUED),
                    queue("queue" + number, "/" + number + "/"));
        }
        batch.add(new StatusTable.Row(job(0), "queue0", "", JobPhase.RUNNING), null);
        batch.takeMessages().forEach(message -> receive(received, message));

        assertTrue(batch.isEmpty());
        for (int number = 0; number < 2 * FeedBatch.QUEUES_PER_MESSAGE; number++) {
            assertTrue(received.acceptedQueue(job(number), "host", "/" + number + "/").isPresent());
        }
        assertEquals(JobPhase.RUNNING, received.rows().iterator().next().phase());
    }

    /** Guards against a leader of an older build whose messages cannot be read, or the reverse. */
    @Test
    void theQueuesFollowOnWhatAnOlderBuildReads() {
        List<StatusTable.Row> rows =
                List.of(new StatusTable.Row(job(1), "queue", "", JobPhase.QUEUED));
        byte[] withQueue =
                FeedMessage.encode(
                        new FeedMessage.Phases(false, false, rows, List.of(queue("queue", "/q/"))));
        byte[] without = FeedMessage.encode(new FeedMessage.Phases(false, false, rows));
        // Messages without queues end with an empty list of one byte, which older builds lack.
        int olderLength = without.length - 1;
        byte[] older = Arrays.copyOf(without, olderLength);

        assertEquals(
                new FeedMessage.Phases(false, false, rows, List.of()), FeedMessage.decode(older));
        assertFalse(withQueue.length == without.length);
        assertTrue(Arrays.equals(older, 0, olderLength, withQueue, 0, olderLength));
    }
}
