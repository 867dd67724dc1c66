package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.job.Cancellation;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/** Jobs with tasks at work whose cancellation a leader reads in an unusual way. */
class CancelledJobTest {
    private static final JobId JOB = new JobId("0123456789abcdef");

    private final LeaderFixture mFixture = new LeaderFixture();

    private Dispatcher startWithTaskAtWork() {
        mFixture.mWorkers.get("w1").taskMillis = 600_000;
        mFixture.mWorkers.get("w2").taskMillis = 600_000;
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        mFixture.mLoop.advance(500);
        mFixture.submit(JOB.value(), LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(1, mFixture.runningCount());
        return dispatcher;
    }

    private void assertCancelledAndStopped(int startedCount) {
        assertEquals(JobPhase.CANCELLED, mFixture.mPhases.get(JOB));
        // A worker on which the leader knows of no run is not called, and its leases lapse.
        mFixture.mWorkers.get("w1").expireLeases();
        mFixture.mWorkers.get("w2").expireLeases();
        assertEquals(0, mFixture.runningCount());
        assertEquals(startedCount, mFixture.startedCount());
    }

    private void cancel(String queue, String account) {
        mFixture.mStore
                .records(Topic.JOBS)
                .add(
                        new KeyedRecord(
                                JobKeys.cancellation(JOB),
                                new Cancellation(queue, account).encode()));
    }

    /** Guards against a job that starts anew, since its progress hides its cancellation. */
    @Test
    void aCancelledJobWhoseProgressCannotBeReadStaysCancelled() {
        startWithTaskAtWork().close();
        cancel("queue", "");
        List<KeyedRecord> progress = mFixture.mStore.records(Topic.PROGRESS);
        byte[] value =
                progress.stream()
                        .filter(record -> record.key().equals(JOB.value()))
                        .reduce((earlier, later) -> later)
                        .orElseThrow()
                        .value();
        assertNotNull(value);
        progress.add(new KeyedRecord(JOB.value(), Arrays.copyOf(value, value.length - 1)));

        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(12_000);

        assertCancelledAndStopped(1);
    }

    /** Guards against a cancellation that is read before the leader knows of the job's runs. */
    @Test
    void aCancellationThatIsStoredWhileTheLeaderLoadsStopsTheInheritedRuns() {
        startWithTaskAtWork().close();
        mFixture.mStore.newestMillis = 2_000;
        Dispatcher second = mFixture.startDispatcher(2);
        mFixture.mLoop.advance(1_000);
        assertFalse(second.isReady());

        cancel("queue", "");
        mFixture.mLoop.advance(6_000);

        assertCancelledAndStopped(1);
    }

    /**
     * Guards against a cancellation that is stored between two pages of the newest records, of
     * which the one that would list it has been read.
     */
    @Test
    void aCancellationThatIsStoredBetweenTwoPagesIsRead() {
        Dispatcher first = startWithTaskAtWork();
        mFixture.submit("other1", LeaderFixture.longRunning(1, 100));
        mFixture.submit("other2", LeaderFixture.longRunning(1, 100));
        mFixture.mLoop.advance(1_000);
        first.close();
        mFixture.mStore.pageRecordCount = 1;
        mFixture.mStore.newestMillis = 500;
        Dispatcher second = mFixture.startDispatcher(2);
        mFixture.mLoop.advance(700);

        cancel("queue", "");
        mFixture.mLoop.advance(6_000);

        assertTrue(second.isReady());
        assertEquals(JobPhase.CANCELLED, mFixture.mPhases.get(JOB));
        assertEquals(2, mFixture.runningCount());
    }

    /**
     * Guards against a submission that arrives twice, the second time after its route has got
     * another queue name, and hides the cancellation from a leader that loads the newest records.
     */
    @Test
    void aSubmissionThatIsStoredAgainUnderAnotherQueueNameStaysCancelled() {
        storeSubmission("queue");
        mFixture.mStore
                .records(Topic.JOBS)
                .add(
                        new KeyedRecord(
                                JobKeys.cancellation(JOB),
                                new Cancellation("queue", "", "host", "/q/").encode()));
        storeSubmission("renamed");

        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(3_000);

        assertCancelledAndStopped(0);
    }

    private void storeSubmission(String queue) {
        Submission submission =
                new Submission(
                        JOB,
                        queue,
                        "",
                        mFixture.mLoop.wallMillis(),
                        new JobSpec("s", List.of(LeaderFixture.longRunning(1, 1_000)), 0, 0, 0),
                        new QueueConfig(
                                queue, "host", "/q/", "pool", 0, 3, 2.0, 250, false, false, 0));
        mFixture.mStore
                .records(Topic.JOBS)
                .add(new KeyedRecord(JobKeys.submission(JOB), submission.encode()));
    }

    /** Guards against a cancellation that the leader never reads, since its record is dropped. */
    @Test
    void aCancellationThatHasLeftTheHistoryIsFoundAmongTheNewestRecords() {
        startWithTaskAtWork();
        mFixture.mStore.readMillis = 400;
        mFixture.mLoop.advance(2_000);
        cancel("queue", "");
        mFixture.mStore.dropHistory(Topic.JOBS);

        mFixture.mLoop.advance(3_000);

        assertCancelledAndStopped(1);
    }

    /** Guards against a submission that arrives twice and revives a cancelled job. */
    @Test
    void aSubmissionThatIsStoredAgainAfterTheCancellationDoesNotReviveTheJob() {
        Dispatcher first = startWithTaskAtWork();
        cancel("queue", "");
        mFixture.submit(JOB.value(), LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(2_000);
        assertCancelledAndStopped(1);
        mFixture.submit(JOB.value(), LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(2_000);
        first.close();

        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(3_000);

        assertCancelledAndStopped(1);
    }

    /** Guards against a stored cancellation that a request of another account takes back. */
    @Test
    void aCancellationThatDoesNotApplyLeavesAnEarlierOneInForce() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(500);
        cancel("queue", "");
        cancel("queue", "other");
        mFixture.submit(JOB.value(), LeaderFixture.longRunning(1, 1_000));

        mFixture.mLoop.advance(3_000);

        assertCancelledAndStopped(0);
    }
}
