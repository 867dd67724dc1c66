package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.fake.FakeStore;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.store.FencedWriter;
import org.hornbeamward.dispatch.store.TopicFollower;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/** Records, jobs and errors that must not stop a leader, and with it all its successors. */
class HostileInputTest {
    /** Largest record of the platform's store. */
    private static final int MAX_RECORD_BYTES = 262_144;

    private final LeaderFixture mFixture = new LeaderFixture();

    private JobId submitAndRun(String id) {
        JobId job = mFixture.submit(id, LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(2_000);
        return job;
    }

    /** Guards against one record of progress that no leader can load. */
    @Test
    void aProgressRecordWithAnUnknownPhaseIsSkipped() {
        JobId damaged = mFixture.submit("damaged", LeaderFixture.step(1, 1_000));
        byte[] record = new Writer().array(3).integer(1).integer(99).array(0).toBytes();
        mFixture.mStore.records(Topic.PROGRESS).add(new KeyedRecord(damaged.value(), record));
        Dispatcher dispatcher = mFixture.startDispatcher(1);

        JobId sound = submitAndRun("sound");

        assertTrue(dispatcher.isReady());
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(sound));
    }

    /** Guards against a submission among thousands that stops the reading of all later ones. */
    @Test
    void aSubmissionWithANegativeTaskCountIsSkipped() {
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300);
        mFixture.submit("negative", LeaderFixture.step(-1, 1_000));

        JobId sound = submitAndRun("sound");

        assertTrue(dispatcher.isReady());
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(sound));
    }

    /**
     * Guards against a job whose occurrences are a millisecond apart since 1970, for which the
     * leader counted every one of them.
     */
    @Test
    void theNewestOccurrenceIsFoundWithoutCountingAll() {
        JobSpec spec = new JobSpec("", List.of(LeaderFixture.step(1, 1_000)), 1_000, 5, 1);

        assertEquals(1_004, spec.newestDueWallMillis(1_700_000_000_000L));
        assertEquals(5, spec.newestDueWallMillis(3));
        assertEquals(7, spec.newestDueWallMillis(7));
    }

    /** Guards against a job whose progress is larger than any record that the store takes. */
    @Test
    void theProgressOfTheLargestValidJobFitsIntoARecord() {
        JobSpec largest =
                new JobSpec(
                        "", List.of(LeaderFixture.step(JobSpec.MAX_TASK_COUNT, 1_000)), 0, 0, 0);
        JobSpec larger =
                new JobSpec(
                        "",
                        List.of(LeaderFixture.step(JobSpec.MAX_TASK_COUNT / 2 + 1, 1_000)),
                        2,
                        0,
                        1);
        assertTrue(largest.problem().isEmpty());
        assertTrue(larger.problem().orElse("").contains("split it"));

        Job job = new Job(new Submission(new JobId("largest"), "queue", 1, largest), null);
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300);
        WorkerSession worker =
                new WorkerSession(
                        mFixture.mLoop,
                        mFixture.mWorkers,
                        dispatcher,
                        mFixture.mWorkers.add("i-0123456789", 1_000).entry());
        for (Task task : job.steps(0)[0].tasks) {
            task.lastAttempt = 3;
            task.checkpoint.restore("00000bb87a21d94b");
            task.run = new Run(task, 3, worker, "");
        }
        assertTrue(ProgressCodec.encode(job).length < MAX_RECORD_BYTES);
    }

    /** Guards against a submission that contradicts itself and is scheduled all the same. */
    @Test
    void aStoredSubmissionWithAForwardDependencyIsMalformed() {
        JobSpec spec =
                new JobSpec(
                        "",
                        List.of(LeaderFixture.step(1, 1_000, 1), LeaderFixture.step(1, 1_000)),
                        0,
                        0,
                        0);
        byte[] bytes = new Submission(new JobId("job"), "queue", 1, spec).encode();

        assertThrows(
                Reader.MalformedInputException.class,
                () -> Submission.decode(new JobId("job"), bytes));
    }

    /**
     * Guards against an entry of another writer that stops the reading of the entries behind it, so
     * that no leader ever takes over.
     */
    @Test
    void aWorkerEntryThatCannotBeHandledDoesNotHideTheOthers() {
        mFixture.mLoop.logsFailures = true;
        mFixture.addOddWorkerEntryBeforeAll();
        Dispatcher dispatcher = mFixture.startDispatcher(1);

        JobId first = submitAndRun("first");
        assertTrue(dispatcher.isReady());
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(first));

        mFixture.mWorkers.add("w3", 8_000);
        mFixture.registerWorker(LeaderFixture.ODD_WORKER);
        mFixture.registerWorker("w3");
        mFixture.mLoop.advance(1_000);
        JobId large = mFixture.submit("large", LeaderFixture.step(1, 8_000));
        mFixture.mLoop.advance(2_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(large));
    }

    /** Guards against an error in the session with one worker that ends the checks of all. */
    @Test
    void anErrorWithOneWorkerDoesNotStopTheOthers() {
        mFixture.mLoop.logsFailures = true;
        mFixture.startDispatcher(1);
        mFixture.submit("first", LeaderFixture.step(2, 3_000));
        mFixture.mLoop.advance(100);
        mFixture.mWorkers.get("w1").callsThrow = true;
        mFixture.mLoop.advance(3_000);

        JobId later = mFixture.submit("later", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(8_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(later));
    }

    /** Guards against a follower that stops reading after its listener has failed once. */
    @Test
    void aFollowerReadsOnAfterItsListenerHasFailed() {
        VirtualLoop loop = new VirtualLoop();
        loop.logsFailures = true;
        FakeStore store = new FakeStore(loop);
        List<String> keys = new ArrayList<>();
        TopicFollower follower =
                new TopicFollower(
                        loop,
                        store,
                        Topic.OPERATOR,
                        100,
                        0,
                        new TopicFollower.Listener() {
                            @Override
                            public void loaded(Map<String, byte[]> newest) {}

                            @Override
                            public void changed(List<KeyedRecord> records) {
                                records.forEach(record -> keys.add(record.key()));
                                if (keys.contains("bad") && keys.size() == 1) {
                                    throw new IllegalStateException("unexpected record");
                                }
                            }
                        });
        follower.start();
        loop.advance(50);
        store.records(Topic.OPERATOR).add(new KeyedRecord("bad", new byte[] {1}));
        loop.advance(200);
        store.records(Topic.OPERATOR).add(new KeyedRecord("good", new byte[] {1}));
        loop.advance(200);

        assertEquals(List.of("bad", "good"), keys);
    }

    /**
     * Guards against a commit that is larger than the store takes in one call, as after the loss of
     * all workers, which the store would refuse for ever.
     */
    @Test
    void aLargeCommitIsSplitAndConfirmedOnce() {
        VirtualLoop loop = new VirtualLoop();
        FakeStore store = new FakeStore(loop);
        FencedWriter writer =
                new FencedWriter(loop, store, Topic.PROGRESS, "leader", 1, reason -> {});
        List<KeyedRecord> records = new ArrayList<>();
        for (int job = 0; job < 60; job++) {
            records.add(new KeyedRecord("job" + job, new byte[100_000]));
        }
        List<Integer> storedCounts = new ArrayList<>();
        store.loseAnswerCount = 2;
        writer.append(records, () -> storedCounts.add(store.records(Topic.PROGRESS).size()));
        assertTrue(writer.isBusy());
        loop.advance(10_000);

        assertEquals(List.of(60), storedCounts);
        assertFalse(writer.isBusy());
        for (List<KeyedRecord> batch : Store.splitForAppend(records)) {
            int byteCount = batch.stream().mapToInt(KeyedRecord::byteCount).sum();
            assertTrue(byteCount <= Store.MAX_APPEND_BYTES);
        }
    }
}
