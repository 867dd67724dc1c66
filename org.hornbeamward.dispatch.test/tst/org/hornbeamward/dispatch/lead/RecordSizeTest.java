package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.Test;

/** Values that outgrow a record of the store, and what a leader commits beside them. */
class RecordSizeTest {
    private static final int IMAGE_COUNT = 40;
    private static final int TASK_COUNT = 180;
    private static final int CHECKPOINT_CHARS = 2_000;
    private static final long LONG_MILLIS = 600_000;

    private final LeaderFixture mFixture = new LeaderFixture();

    private FakeWorker addWorker(String name, long cpuMillicores) {
        FakeWorker worker = mFixture.mWorkers.add(name, new Resources(cpuMillicores, 1_000_000, 0));
        mFixture.registerWorker(name);
        return worker;
    }

    /** Returns an image that is named by its digest. */
    private static String image(String kind, int number) {
        return String.format("registry.example/%s-%03d@sha256:%064x", kind, number, number);
    }

    private static StepSpec step(String image, boolean filler) {
        return new StepSpec(
                filler ? 1 : 2,
                new Resources(100, 100, 0),
                100_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                !filler,
                image,
                filler ? 0 : 100,
                filler,
                0);
    }

    /** Guards against learned interference that the store refuses, and with it every commit. */
    @Test
    void jobsRunAlthoughTheLearnedInterferenceOfManyImagesOutgrowsARecord() {
        FakeWorker large = addWorker("w3", 64_000);
        large.taskMillis = LONG_MILLIS;
        large.load = 10;
        mFixture.mWorkers.get("w1").draining = true;
        mFixture.mWorkers.get("w2").draining = true;
        mFixture.startDispatcher(1);
        for (int number = 0; number < IMAGE_COUNT; number++) {
            mFixture.submit("serving" + number, step(image("desk", number), false));
            mFixture.submit("filler" + number, step(image("batch", number), true));
        }
        mFixture.mLoop.advance(60_000);
        assertEquals(3 * IMAGE_COUNT, large.running().size());
        assertEquals(0, mFixture.mStore.tooLargeCount);

        large.taskMillis = 500;
        JobId small = mFixture.submit("small", LeaderFixture.step(1, 100));
        mFixture.mLoop.advance(2_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(small));
    }

    /** Guards against checkpoints of one job that the store refuses, and with them every commit. */
    @Test
    void jobsRunAlthoughTheCheckpointsOfALargeJobOutgrowARecord() {
        FakeWorker large = addWorker("w3", TASK_COUNT * 5_000L);
        large.taskMillis = LONG_MILLIS;
        mFixture.startDispatcher(1);
        mFixture.submit("large", LeaderFixture.step(TASK_COUNT, 5_000));
        mFixture.mLoop.advance(3_000);
        assertEquals(TASK_COUNT, large.running().size());
        large.checkpoint = "c".repeat(CHECKPOINT_CHARS);
        mFixture.mLoop.advance(3_000);
        large.breakGangs();

        JobId small = mFixture.submit("small", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(10_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(small));
        assertEquals(2 * TASK_COUNT, large.started.size());
        assertEquals(0, mFixture.mStore.tooLargeCount);
        assertTrue(large.acknowledgedEnd() >= TASK_COUNT);
    }

    /**
     * Guards against a checkpoint that a new leader does not find, or cannot read, after the worker
     * that reported it is lost.
     */
    @Test
    void aTaskOfALostWorkerResumesFromALongCheckpointUnderANewLeader() {
        for (int length : List.of(10, 40, 70_000, 300_000, 900_000)) {
            LeaderFixture fixture = new LeaderFixture();
            List<FakeWorker> workers =
                    List.of(fixture.mWorkers.get("w1"), fixture.mWorkers.get("w2"));
            workers.forEach(worker -> worker.taskMillis = LONG_MILLIS);
            Dispatcher first = fixture.startDispatcher(1);
            fixture.submit("job", LeaderFixture.step(2, 4_000));
            fixture.mLoop.advance(500);
            assertEquals(2, fixture.runningCount());
            String checkpoint = "c".repeat(length);
            workers.forEach(worker -> worker.checkpoint = checkpoint);
            workers.forEach(FakeWorker::breakGangs);
            fixture.mLoop.advance(1_000);
            first.close();
            workers.forEach(worker -> worker.checkpoint = "");
            workers.forEach(FakeWorker::restart);
            fixture.registerWorker("w1");
            fixture.registerWorker("w2");
            workers.forEach(worker -> worker.startCheckpoints.clear());
            fixture.startDispatcher(2);
            fixture.mLoop.advance(5_000);

            for (FakeWorker worker : workers) {
                assertEquals(List.of(checkpoint), worker.startCheckpoints);
            }
            assertEquals(0, fixture.mStore.tooLargeCount);
        }
    }

    /** Guards against records of a job that stay, and that every new leader has to load. */
    @Test
    void allRecordsOfAJobAreRemovedAlsoByALaterLeader() {
        FakeWorker worker = mFixture.mWorkers.get("w1");
        worker.taskMillis = LONG_MILLIS;
        mFixture.mWorkers.get("w2").draining = true;
        Dispatcher first = mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(500);
        worker.checkpoint = "c".repeat(300_000);
        worker.breakGangs();
        mFixture.mLoop.advance(500);
        assertEquals(3, recordCount("job"));
        first.close();
        mFixture.mStore.records(Topic.JOBS).add(new KeyedRecord(JobKeys.submission(job), null));
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(3_000);

        assertEquals(0, recordCount("job"));
    }

    /** Guards against the same after a leader that died while it removed a job. */
    @Test
    void whatALeaderLeavesThatDiesDuringARemovalIsRemovedByTheNext() {
        mFixture.mStore
                .records(Topic.PROGRESS)
                .addAll(
                        List.of(
                                new KeyedRecord("checkpoint/job/0.0.0", new byte[] {1}),
                                new KeyedRecord("checkpoint/job/0.0.0+1", new byte[] {1}),
                                new KeyedRecord("job+1", new byte[] {1})));
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(3_000);

        assertEquals(0, recordCount("job"));
    }

    private long recordCount(String job) {
        Map<String, KeyedRecord> newest = new HashMap<>();
        mFixture.mStore.records(Topic.PROGRESS).forEach(record -> newest.put(record.key(), record));
        return newest.values().stream()
                .filter(record -> record.value() != null && record.key().contains(job))
                .count();
    }
}
