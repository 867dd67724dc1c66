package org.hornbeamward.dispatch.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.hornbeamward.dispatch.account.AccessCheck.Access;
import org.hornbeamward.dispatch.account.AccountDirectory;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.account.KeyDigest;
import org.hornbeamward.dispatch.account.KeyPolicy;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.PoolConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.entry.EntryNode.JobOutcome;
import org.hornbeamward.dispatch.fake.FakeStore;
import org.hornbeamward.dispatch.fake.FakeWorkers;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.lead.CapturedLog;
import org.hornbeamward.dispatch.lead.DispatchLimits;
import org.hornbeamward.dispatch.lead.JobKeys;
import org.hornbeamward.dispatch.port.Documents;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An entry that follows a leader, with a fake store and feed on a virtual clock. */
class EntryNodeTest {
    private static final QueueConfig QUEUE =
            new QueueConfig("queue", "host", "/q/", "pool", 0, 3, 2.0, 250, false, false, 0);
    private static final JobId JOB = new JobId("0123456789abcdef");

    private final VirtualLoop mLoop = new VirtualLoop();
    private final FakeStore mStore = new FakeStore(mLoop);
    private final FakeFeed mFeed = new FakeFeed();
    private final EventLoopGroup mGroup = new NioEventLoopGroup(1);
    private EntryNode mNode;

    /** Captures the receiver of the leader's messages. */
    private static final class FakeFeed implements LeaderFeed {
        private Optional<LeaderFeed.Receiver> mReceiver = Optional.empty();

        @Override
        public void follow(String address, LeaderFeed.Receiver receiver) {
            mReceiver = Optional.of(receiver);
        }

        @Override
        public void unfollow() {}
    }

    /** Decodes a version, or a version and the keys of an account, separated by spaces. */
    private static final class FakeDocuments implements Documents {
        @Override
        public Either<String, OperatorDocument> decodeOperatorRecord(String key, byte[] value) {
            if (!key.equals("config")) {
                return Either.left("unknown key " + key);
            }
            List<String> words = List.of(new String(value, StandardCharsets.UTF_8).split(" ", -1));
            long version = Long.parseLong(words.get(0));
            AccountDirectory accounts = AccountDirectory.NONE;
            if (words.size() > 1) {
                Set<KeyDigest> keys =
                        words.stream().skip(1).map(KeyDigest::of).collect(Collectors.toSet());
                accounts =
                        AccountDirectory.of(
                                List.of(new ClientAccount("account", keys, 1, Resources.NONE)));
            }
            return Either.right(
                    new OperatorDocument.Config(
                            ClusterConfig.of(
                                    version,
                                    List.of(QUEUE),
                                    List.of(new PoolConfig("pool", true, false)),
                                    accounts,
                                    1_000)));
        }

        @Override
        public Either<String, WorkerEntry> decodeWorkerEntry(String key, byte[] value) {
            return Either.left("there are no workers");
        }
    }

    private void writeConfig(String version) {
        mStore.records(Topic.OPERATOR)
                .add(new KeyedRecord("config", version.getBytes(StandardCharsets.UTF_8)));
    }

    @BeforeEach
    void startFollowing() throws InterruptedException {
        writeConfig("7");
        LeaderRecord leader = new LeaderRecord("other", 1, "127.0.0.1:1", 1, false);
        mStore.records(Topic.LEADER).add(new KeyedRecord(LeaderRecord.KEY, leader.encode()));
        mNode =
                new EntryNode(
                        mLoop,
                        mStore,
                        new FakeWorkers(mLoop),
                        new FakeDocuments(),
                        new DispatchLimits(6_000, 200, 120_000, 1.0, 1_000),
                        KeyPolicy.withdrawnKeysEndWithin(5_000),
                        mFeed,
                        new FeedServer(mGroup, "127.0.0.1", 0),
                        new Random(1),
                        "entry",
                        "127.0.0.1:2");
        mNode.start();
        mLoop.advance(100);
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Phases(true, true, List.of()));
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Heartbeat(1, true, 0, 0, 10, 0));
    }

    @AfterEach
    void stopGroup() {
        mGroup.shutdownGracefully();
    }

    private JobOutcome phase() {
        CompletableFuture<JobOutcome> answer = mNode.phase(QUEUE, "", JOB);
        mLoop.advance(300);
        return answer.join();
    }

    /**
     * Guards against a process that wakes after a suspension and denies a job that another entry
     * accepted meanwhile, because its monotonic clock has not counted the time.
     */
    @Test
    void anEntryThatWasSuspendedDoesNotDenyAJob() {
        assertInstanceOf(JobOutcome.NoSuchJob.class, phase());

        mLoop.suspend(10_000);

        assertInstanceOf(JobOutcome.Unavailable.class, phase());
    }

    /**
     * Guards against a job that is denied more than 3 s after it was accepted elsewhere: the leader
     * had not read the jobs for 2.4 s when it was frozen, and its last report is a second old.
     */
    @Test
    void anEntryAddsTheAgeOfTheReportToTheAgeOfTheJobs() {
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Heartbeat(1, true, 0, 2_000, 10, 0));
        assertInstanceOf(JobOutcome.NoSuchJob.class, phase());
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Heartbeat(1, true, 0, 2_400, 10, 0));

        mLoop.advance(1_000);

        assertInstanceOf(JobOutcome.Unavailable.class, phase());
    }

    /** Guards against callers that keep connecting to an instance that the store turns away. */
    @Test
    void anEntryWithoutTheStoreIsNotReadyUntilItAnswersAgain() {
        assertTrue(mNode.isReady());
        mStore.down = true;
        mLoop.advance(4_500);
        assertFalse(mNode.isReady());

        mStore.down = false;
        mLoop.advance(1_500);

        assertTrue(mNode.isReady());
    }

    /** Guards against a configuration that reverts when an older record is read again. */
    @Test
    void anOlderConfigurationDoesNotReplaceANewerOne() {
        writeConfig("9");
        mLoop.advance(200);
        assertEquals(9, mNode.config().orElseThrow().version());
        writeConfig("8");
        mStore.dropHistory(Topic.OPERATOR);
        mLoop.advance(3_000);

        assertEquals(9, mNode.config().orElseThrow().version());
    }

    /** Guards against an unreadable operator record that ends the reading of later ones. */
    @Test
    void aConfigurationThatCannotBeReadDoesNotStopLaterOnes() {
        writeConfig("not a number");
        mLoop.advance(200);
        writeConfig("11");
        mLoop.advance(200);

        assertEquals(11, mNode.config().orElseThrow().version());
    }

    /**
     * Guards against a caller that waits for its timeout, or is told that the outcome is unknown,
     * although the leader has reported the job whose append got no answer.
     */
    @Test
    void aSubmissionWhoseAnswerIsLostIsAcceptedOnceTheLeaderReportsIt() {
        mStore.loseAnswerCount = 100;
        CompletableFuture<EntryNode.SubmitOutcome> answer =
                mNode.submit(
                        QUEUE,
                        "",
                        JOB,
                        new JobSpec("payload", List.of(), 0, 0, 0),
                        mLoop.nowMillis() + 2_900);
        mLoop.advance(50);
        assertFalse(answer.isDone());

        StatusTable.Row row = new StatusTable.Row(JOB, QUEUE.name(), "", JobPhase.QUEUED);
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Phases(false, false, List.of(row)));

        assertInstanceOf(EntryNode.SubmitOutcome.Accepted.class, answer.join());
        mLoop.advance(1_200);
        assertEquals(1, mStore.records(Topic.JOBS).size());
    }

    /**
     * Guards against a lost cancellation: this entry does not know yet of a job that another entry
     * has just accepted, told the caller that no such job exists, and the job ran.
     */
    @Test
    void aCancellationOfAJobThatIsNotKnownYetIsStored() {
        CompletableFuture<JobOutcome> answer =
                mNode.cancel(QUEUE, "", JOB, mLoop.nowMillis() + 3_000);
        mLoop.advance(50);
        assertEquals(new JobOutcome.Known(JobPhase.CANCELLED), answer.join());
        KeyedRecord record = mStore.records(Topic.JOBS).get(0);
        assertEquals(JobKeys.cancellation(JOB), record.key());
    }

    /** Guards against an acknowledged cancellation that is stored nowhere. */
    @Test
    void aCancellationThatTheStoreDoesNotTakeIsNotAcknowledged() {
        mStore.down = true;
        CompletableFuture<JobOutcome> answer =
                mNode.cancel(QUEUE, "", JOB, mLoop.nowMillis() + 1_000);
        mLoop.advance(4_000);
        assertInstanceOf(JobOutcome.Unavailable.class, answer.join());
    }

    /** Guards against a "not stored" for a cancellation that may take effect. */
    @Test
    void aCancellationWhoseAnswerIsLostHasAnUnknownOutcome() {
        mStore.loseAnswerCount = 100;
        CompletableFuture<JobOutcome> answer =
                mNode.cancel(QUEUE, "", JOB, mLoop.nowMillis() + 1_000);
        mLoop.advance(4_000);
        assertInstanceOf(JobOutcome.Unknown.class, answer.join());
    }

    /** Guards against a job that is cancelled by a caller who names another queue. */
    @Test
    void aJobOfAnotherQueueIsNotCancelled() {
        mFeed.mReceiver
                .orElseThrow()
                .received(
                        new FeedMessage.Phases(
                                false,
                                false,
                                List.of(new StatusTable.Row(JOB, "other", "", JobPhase.RUNNING))));
        CompletableFuture<JobOutcome> answer =
                mNode.cancel(QUEUE, "", JOB, mLoop.nowMillis() + 3_000);
        mLoop.advance(50);
        assertInstanceOf(JobOutcome.NoSuchJob.class, answer.join());
        assertTrue(mStore.records(Topic.JOBS).isEmpty());
    }

    /** Guards against an acknowledged cancellation whose way cannot be followed in the log. */
    @Test
    void theLogTellsWhetherACancellationWasStored() {
        try (CapturedLog log = new CapturedLog()) {
            mNode.cancel(QUEUE, "", JOB, mLoop.nowMillis() + 3_000);
            mLoop.advance(50);
            StatusTable.Row row = new StatusTable.Row(JOB, "other", "account", JobPhase.RUNNING);
            mFeed.mReceiver
                    .orElseThrow()
                    .received(new FeedMessage.Phases(false, false, List.of(row)));
            mLoop.advance(70);
            mNode.cancel(QUEUE, "", JOB, mLoop.nowMillis() + 3_000);

            List<String> stored = log.lines(LogEvent.CANCELLATION_STORED);
            assertEquals(1, stored.size());
            assertTrue(stored.get(0).contains("job " + JOB + " of queue queue stored after "));
            List<String> answered = log.lines(LogEvent.CANCELLATION_NOT_STORED);
            assertEquals(1, answered.size());
            assertTrue(
                    answered.get(0)
                            .contains(
                                    "the job is RUNNING, has queue other and client account"
                                            + " account; the report of the leader is 120 ms old"));
        }
    }

    /** Guards against a job that is denied at an entry on which its route was never configured. */
    @Test
    void aJobOfARemovedRouteIsFoundOnceTheLeaderReportsIt() {
        QueueConfig removed =
                new QueueConfig("removed", "host", "/r/", "pool", 0, 3, 2.0, 250, false, false, 0);
        CompletableFuture<RemovedRoutes.Lookup> answer =
                mNode.removedRoutes().await("host", "/r/", JOB);
        mLoop.advance(100);
        StatusTable.Row row = new StatusTable.Row(JOB, "removed", "", JobPhase.RUNNING);
        mFeed.mReceiver
                .orElseThrow()
                .received(new FeedMessage.Phases(false, false, List.of(row), List.of(removed)));
        mLoop.advance(200);

        assertEquals(new RemovedRoutes.Lookup.Found(removed), answer.join());
        assertEquals(new JobOutcome.Known(JobPhase.RUNNING), mNode.phase(removed, "", JOB).join());
        assertTrue(mNode.removedRoutes().find("host", "/q/", JOB).isEmpty());
    }

    /**
     * Guards against a job that is denied while the table of a new leader arrives: the rows come
     * before the routes on which their jobs were accepted.
     */
    @Test
    void aJobIsNotDeniedBeforeTheRouteOfItsAcceptanceIsKnown() {
        StatusTable.Row row = new StatusTable.Row(JOB, "before", "", JobPhase.RUNNING);
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Phases(true, false, List.of(row)));

        assertInstanceOf(JobOutcome.Unavailable.class, phase());
        CompletableFuture<RemovedRoutes.Lookup> lookup =
                mNode.removedRoutes().await("host", "/r/", JOB);
        CompletableFuture<JobOutcome> cancelled =
                mNode.cancel(QUEUE, "", JOB, mLoop.nowMillis() + 3_000);
        mLoop.advance(50);

        assertInstanceOf(RemovedRoutes.Lookup.Unavailable.class, lookup.join());
        assertEquals(new JobOutcome.Known(JobPhase.CANCELLED), cancelled.join());
        assertEquals(JobKeys.cancellation(JOB), mStore.records(Topic.JOBS).get(0).key());
        assertInstanceOf(
                JobOutcome.NoSuchJob.class,
                mNode.cancel(QUEUE, "other", JOB, mLoop.nowMillis() + 3_000).join());
    }

    /** Guards against an entry that denies a job without knowing which jobs there are. */
    @Test
    void anEntryWithoutTheLeaderDoesNotDenyAJobOfARemovedRoute() {
        CompletableFuture<RemovedRoutes.Lookup> known =
                mNode.removedRoutes().await("host", "/r/", JOB);
        mLoop.advance(300);
        assertInstanceOf(RemovedRoutes.Lookup.NoSuchJob.class, known.join());

        mLoop.suspend(10_000);
        CompletableFuture<RemovedRoutes.Lookup> unknown =
                mNode.removedRoutes().await("host", "/r/", JOB);
        mLoop.advance(300);

        assertInstanceOf(RemovedRoutes.Lookup.Unavailable.class, unknown.join());
    }

    private Access authorize(String key) {
        return mNode.authorize(QUEUE, List.of("Bearer " + key));
    }

    /**
     * Guards against a withdrawn key that is used until the next configuration is read by chance.
     */
    @Test
    void aWithdrawnKeyIsRefusedOnceTheConfigurationIsRead() {
        writeConfig("8 k1 k2");
        mLoop.advance(200);
        assertEquals(new Access.Granted("account"), authorize("k1"));
        writeConfig("9 k2");
        mLoop.advance(200);

        assertInstanceOf(Access.Unauthorized.class, authorize("k1"));
        assertEquals(new Access.Granted("account"), authorize("k2"));
    }

    /** Guards against a withdrawn key that an instance without the store goes on accepting. */
    @Test
    void anEntryThatIsCutOffFromTheStoreAcceptsNoKeyAfterAWhile() {
        writeConfig("8 k1");
        mLoop.advance(200);
        mStore.down = true;
        mLoop.advance(3_000);
        assertEquals(new Access.Granted("account"), authorize("k1"));
        mLoop.advance(2_000);
        assertInstanceOf(Access.Unverifiable.class, authorize("k1"));

        mStore.down = false;
        mLoop.advance(1_500);

        assertEquals(new Access.Granted("account"), authorize("k1"));
    }

    /** Guards against a process that wakes and accepts a key that was withdrawn meanwhile. */
    @Test
    void anEntryThatWasSuspendedAcceptsNoKeyBeforeItHasReadTheConfiguration() {
        writeConfig("8 k1");
        mLoop.advance(200);
        writeConfig("9 k2");
        mLoop.suspend(10_000);
        assertInstanceOf(Access.Unverifiable.class, authorize("k1"));

        mLoop.advance(2_500);

        assertInstanceOf(Access.Unauthorized.class, authorize("k1"));
    }

    /** Guards against a caller who sees or cancels a job of another account. */
    @Test
    void aJobOfAnotherAccountIsNeitherShownNorCancelled() {
        StatusTable.Row row = new StatusTable.Row(JOB, QUEUE.name(), "account", JobPhase.RUNNING);
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Phases(false, false, List.of(row)));

        assertInstanceOf(
                JobOutcome.NoSuchJob.class,
                mNode.cancel(QUEUE, "other", JOB, mLoop.nowMillis() + 3_000).join());
        assertInstanceOf(JobOutcome.NoSuchJob.class, phase());
        assertEquals(
                new JobOutcome.Known(JobPhase.RUNNING), mNode.phase(QUEUE, "account", JOB).join());
    }

    private CompletableFuture<EntryNode.SubmitOutcome> submit(String account, String job) {
        return mNode.submit(
                QUEUE,
                account,
                new JobId(job),
                new JobSpec("payload", List.of(), 0, 0, 0),
                mLoop.nowMillis() + 2_900);
    }

    /**
     * Load pattern: an account sends many times its share through several entries while the workers
     * are full. The jobs that other entries have accepted count as well.
     */
    @Test
    void aJobBeyondItsAccountsShareIsRefusedAtOnceWhileSuchJobsWaitForWorkers() {
        writeConfig("8 k1");
        mLoop.advance(200);
        for (int number = 0; number < 4; number++) {
            StatusTable.Row row =
                    new StatusTable.Row(
                            new JobId("job" + number), QUEUE.name(), "account", JobPhase.QUEUED);
            mFeed.mReceiver
                    .orElseThrow()
                    .received(new FeedMessage.Phases(false, false, List.of(row)));
        }
        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Heartbeat(1, true, 0, 0, 10, 5_000));
        CompletableFuture<EntryNode.SubmitOutcome> refused = submit("account", "refused");
        assertTrue(refused.isDone());
        EntryNode.SubmitOutcome.BeyondShare outcome =
                assertInstanceOf(EntryNode.SubmitOutcome.BeyondShare.class, refused.join());
        assertTrue(outcome.retryAfterMillis() >= 1_000);

        mFeed.mReceiver.orElseThrow().received(new FeedMessage.Heartbeat(1, true, 0, 0, 10, 0));
        CompletableFuture<EntryNode.SubmitOutcome> accepted = submit("account", "accepted");
        mLoop.advance(50);

        assertInstanceOf(EntryNode.SubmitOutcome.Accepted.class, accepted.join());
    }
}
