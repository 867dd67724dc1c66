package org.hornbeamward.dispatch.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.dispatch.account.KeyPolicy;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.PoolConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.entry.EntryNode.JobOutcome;
import org.hornbeamward.dispatch.entry.EntryNode.SubmitOutcome;
import org.hornbeamward.dispatch.fake.FakeStore;
import org.hornbeamward.dispatch.fake.FakeWorkers;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.lead.DispatchLimits;
import org.hornbeamward.dispatch.port.Documents;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Jobs of a route that a configuration removes, over a fake store, two workers and entries that
 * lead one after the other on a virtual clock.
 */
class RemovedRouteTest {
    private static final QueueConfig QUEUE = queue("queue", "/q/");
    private static final JobId JOB = new JobId("0123456789abcdef");

    private final VirtualLoop mLoop = new VirtualLoop();
    private final FakeStore mStore = new FakeStore(mLoop);
    private final FakeWorkers mWorkers = new FakeWorkers(mLoop);
    private final EventLoopGroup mGroup = new NioEventLoopGroup(1);

    private static final class NoFeed implements LeaderFeed {
        @Override
        public void follow(String address, LeaderFeed.Receiver receiver) {}

        @Override
        public void unfollow() {}
    }

    private static QueueConfig queue(String name, String pathPrefix) {
        return new QueueConfig(name, "host", pathPrefix, "pool", 0, 2, 2.0, 250, false, false, 0);
    }

    /** Decodes a version, which is followed by the name of the queue if there is one. */
    private final class FakeDocuments implements Documents {
        @Override
        public Either<String, OperatorDocument> decodeOperatorRecord(String key, byte[] value) {
            String[] words = new String(value, StandardCharsets.UTF_8).split(" ");
            return Either.right(
                    new OperatorDocument.Config(
                            ClusterConfig.of(
                                    Long.parseLong(words[0]),
                                    words.length > 1 ? List.of(queue(words[1], "/q/")) : List.of(),
                                    List.of(new PoolConfig("pool", true, false)),
                                    1_000)));
        }

        @Override
        public Either<String, WorkerEntry> decodeWorkerEntry(String key, byte[] value) {
            return Either.right(mWorkers.get(key).entry());
        }
    }

    private void write(Topic topic, String key, String value) {
        mStore.records(topic).add(new KeyedRecord(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    private void removeRoute() {
        write(Topic.OPERATOR, "config", "2");
        mLoop.advance(300);
    }

    private EntryNode startLeader() {
        return startLeader(newFeedServer());
    }

    private EntryNode startLeader(FeedServer feedServer) {
        EntryNode node = newEntry(feedServer, "entry");
        node.start();
        mLoop.advance(3_000);
        return node;
    }

    private EntryNode newEntry(FeedServer feedServer, String instance) {
        return new EntryNode(
                mLoop,
                mStore,
                mWorkers,
                new FakeDocuments(),
                new DispatchLimits(6_000, 200, 120_000, 1.0, 1_000),
                KeyPolicy.UNBOUNDED,
                new NoFeed(),
                feedServer,
                new Random(1),
                instance,
                "127.0.0.1:2");
    }

    private FeedServer newFeedServer() {
        try {
            return new FeedServer(mGroup, "127.0.0.1", 0);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @BeforeEach
    void addWorkersAndTheRoute() {
        for (String worker : List.of("w1", "w2")) {
            mWorkers.add(worker, 4_000);
            mWorkers.get(worker).taskMillis = 500;
            write(Topic.WORKERS, worker, worker);
        }
        write(Topic.OPERATOR, "config", "1 queue");
    }

    @AfterEach
    void stopGroup() {
        mGroup.shutdownGracefully();
    }

    private static StepSpec step(boolean longRunning, Integer... dependencies) {
        return new StepSpec(
                1,
                new Resources(1_000, 100, 0),
                500,
                List.of(dependencies),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                longRunning,
                "",
                0,
                false,
                0);
    }

    private void submit(EntryNode node, StepSpec... steps) {
        JobSpec spec = new JobSpec("payload", List.of(steps), 0, 0, 0);
        CompletableFuture<SubmitOutcome> answer =
                node.submit(QUEUE, "", JOB, spec, mLoop.nowMillis() + 2_900);
        mLoop.advance(50);
        assertInstanceOf(SubmitOutcome.Accepted.class, answer.join());
    }

    private JobOutcome phase(EntryNode node) {
        CompletableFuture<JobOutcome> answer = node.phase(QUEUE, "", JOB);
        mLoop.advance(300);
        return answer.join();
    }

    private int runningCount() {
        return mWorkers.get("w1").running().size() + mWorkers.get("w2").running().size();
    }

    /** Guards against an accepted job that no later leader finishes. */
    @Test
    void aJobOfARemovedRouteEndsAfterAChangeOfLeaders() {
        EntryNode first = startLeader();
        mWorkers.get("w1").taskMillis = 4_000;
        mWorkers.get("w2").taskMillis = 4_000;
        submit(first, step(false), step(false, 0));
        mLoop.advance(300);
        assertEquals(1, runningCount());
        removeRoute();
        first.stop();
        mLoop.advance(500);

        EntryNode second = startLeader();
        mLoop.advance(9_000);

        assertEquals(new JobOutcome.Known(JobPhase.COMPLETED), phase(second));
    }

    /** Guards against a task that lasts and is not started again after its worker is lost. */
    @Test
    void aTaskThatLastsOnARemovedRouteStartsAgainAfterAChangeOfLeaders() {
        EntryNode first = startLeader();
        mWorkers.get("w1").taskMillis = 60_000;
        mWorkers.get("w2").taskMillis = 60_000;
        submit(first, step(true));
        mLoop.advance(1_000);
        boolean onFirstWorker = mWorkers.get("w1").running().size() == 1;
        removeRoute();
        first.stop();
        mLoop.advance(500);
        startLeader();

        mWorkers.get(onFirstWorker ? "w1" : "w2").unreachable = true;
        mLoop.advance(20_000);

        assertEquals(1, mWorkers.get(onFirstWorker ? "w2" : "w1").running().size());
    }

    /** Guards against an acknowledged cancellation that the leader ignores. */
    @Test
    void aJobIsCancelledByAnEntryThatDoesNotKnowItAndNamesItsRouteDifferently() {
        EntryNode leader = startLeader();
        mWorkers.get("w1").taskMillis = 60_000;
        mWorkers.get("w2").taskMillis = 60_000;
        submit(leader, step(true));
        mLoop.advance(1_000);
        assertEquals(1, runningCount());
        write(Topic.OPERATOR, "config", "2 renamed");
        mLoop.advance(300);
        EntryNode other = newEntry(newFeedServer(), "other");
        other.start();
        mLoop.advance(100);

        QueueConfig renamed = other.config().orElseThrow().route("host", "/q/" + JOB).orElseThrow();
        CompletableFuture<JobOutcome> answer =
                other.cancel(renamed, "", JOB, mLoop.nowMillis() + 2_900);
        mLoop.advance(1_000);

        assertEquals(new JobOutcome.Known(JobPhase.CANCELLED), answer.join());
        assertEquals(0, runningCount());
    }

    /** Guards against jobs that never start, since the leader reads their records too late. */
    @Test
    void aJobWhoseRecordTheLeaderReadsAfterTheRemovalEnds() {
        EntryNode node = startLeader();
        removeRoute();

        submit(node, step(false));
        mLoop.advance(3_000);

        assertEquals(new JobOutcome.Known(JobPhase.COMPLETED), phase(node));
    }

    /**
     * Guards against a job that is tried without end, since the limit of its queue is forgotten.
     */
    @Test
    void aJobOfARemovedRouteKeepsItsAttemptLimit() {
        EntryNode first = startLeader();
        removeRoute();
        first.stop();
        mLoop.advance(500);
        EntryNode second = startLeader();
        mWorkers.get("w1").endKind = EndKind.FAILED;
        mWorkers.get("w2").endKind = EndKind.FAILED;

        submit(second, step(false));
        mLoop.advance(20_000);

        assertEquals(new JobOutcome.Known(JobPhase.FAILED), phase(second));
    }

    private static FeedMessage readMessage(DataInputStream input) throws IOException {
        return FeedMessage.decode(input.readNBytes(input.readInt()));
    }

    /** Guards against entries that never learn the route of a job that another one accepted. */
    @Test
    void theLeaderTellsTheOtherEntriesTheRouteOfANewJobOnce() throws IOException {
        FeedServer feedServer = newFeedServer();
        EntryNode leader = startLeader(feedServer);
        try (Socket socket = new Socket("127.0.0.1", feedServer.port())) {
            socket.setSoTimeout(10_000);
            DataInputStream input = new DataInputStream(socket.getInputStream());
            // The whole table comes before the first heartbeat.
            FeedMessage initial;
            do {
                initial = readMessage(input);
            } while (!(initial instanceof FeedMessage.Heartbeat));
            submit(leader, step(false));
            mLoop.advance(1_000);
            List<JobPhase> phases = new ArrayList<>();
            List<QueueConfig> queues = new ArrayList<>();
            while (!phases.contains(JobPhase.COMPLETED)) {
                if (readMessage(input) instanceof FeedMessage.Phases message) {
                    message.rows().forEach(row -> phases.add(row.phase()));
                    queues.addAll(message.queues());
                }
            }

            assertEquals(List.of(QUEUE), queues);
            assertEquals(JobPhase.QUEUED, phases.get(0));
        }
    }
}
