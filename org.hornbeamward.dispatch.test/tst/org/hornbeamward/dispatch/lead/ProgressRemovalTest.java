package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/** Removal of the progress of jobs whose state need not be shown any longer. */
class ProgressRemovalTest {
    /** Twice the time for which states are kept, with time for the removal. */
    private static final long REMOVED_AFTER_MILLIS = 2 * 120_000 + 5_000;

    /** Jobs whose removal exceeds a call of 2 MiB. */
    private static final int ENDED_JOB_COUNT = 60_000;

    private final LeaderFixture mFixture = new LeaderFixture();

    private Map<String, byte[]> newest(Topic topic) {
        Map<String, byte[]> newest = new HashMap<>();
        for (KeyedRecord record : mFixture.mStore.records(topic)) {
            if (record.value() == null) {
                newest.remove(record.key());
            } else {
                newest.put(record.key(), record.value());
            }
        }
        return newest;
    }

    private JobId submitAndRun(String id) {
        JobId job = mFixture.submit(id, LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(2_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        return job;
    }

    /** Guards against a topic that grows for ever, and that every new leader has to load. */
    @Test
    void theProgressOfARemovedJobIsRemovedToo() {
        mFixture.startDispatcher(1);
        JobId job = submitAndRun("job");
        assertNotNull(newest(Topic.PROGRESS).get(job.value()));
        mFixture.mLoop.advance(REMOVED_AFTER_MILLIS);

        assertNull(newest(Topic.JOBS).get(JobKeys.submission(job)));
        assertNull(newest(Topic.PROGRESS).get(job.value()));
    }

    /** Guards against records that stay because a leader ended between the two removals. */
    @Test
    void aNewLeaderRemovesProgressWithoutASubmission() {
        Dispatcher first = mFixture.startDispatcher(1);
        JobId job = submitAndRun("job");
        first.close();
        mFixture.mStore.records(Topic.JOBS).add(new KeyedRecord(JobKeys.submission(job), null));
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(3_000);

        assertNull(newest(Topic.PROGRESS).get(job.value()));
    }

    /**
     * Guards against a job that is run again: a new leader that finds a submission without progress
     * takes it for a new job.
     */
    @Test
    void theProgressStaysUntilTheSubmissionIsRemoved() {
        mFixture.startDispatcher(1);
        JobId job = submitAndRun("job");
        int startedCount = mFixture.startedCount();
        mFixture.mLoop.advance(2 * 120_000 - 3_000);
        mFixture.mStore.refusedTopic = Topic.JOBS;
        mFixture.mLoop.advance(10_000);
        assertNotNull(newest(Topic.JOBS).get(JobKeys.submission(job)));
        assertNotNull(newest(Topic.PROGRESS).get(job.value()));

        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(5_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        assertEquals(startedCount, mFixture.startedCount());
    }

    /**
     * Guards against an ended job that runs again: the store did not take its removal, and the
     * leader reads the newest records anew, since it has lost the history.
     */
    @Test
    void aJobWhoseRemovalIsRefusedIsNotTakenForANewOne() {
        mFixture.startDispatcher(1);
        JobId job = submitAndRun("job");
        int startedCount = mFixture.startedCount();
        mFixture.mStore.refusedTopic = Topic.JOBS;
        mFixture.mLoop.advance(REMOVED_AFTER_MILLIS);
        mFixture.mStore.readMillis = 400;
        mFixture.mLoop.advance(2_000);
        mFixture.mStore.records(Topic.JOBS).add(new KeyedRecord("other", null));
        mFixture.mStore.dropHistory(Topic.JOBS);
        mFixture.mLoop.advance(3_000);
        assertEquals(startedCount, mFixture.startedCount());
        assertNotNull(newest(Topic.JOBS).get(JobKeys.submission(job)));

        mFixture.mStore.refusedTopic = null;
        mFixture.mLoop.advance(3_000);

        assertNull(newest(Topic.JOBS).get(JobKeys.submission(job)));
        assertNull(newest(Topic.PROGRESS).get(job.value()));
    }

    /** Guards against progress that is removed because its submission cannot be read at present. */
    @Test
    void theProgressOfAnUnreadableSubmissionStays() {
        Dispatcher first = mFixture.startDispatcher(1);
        JobId job = submitAndRun("job");
        first.close();
        mFixture.mStore
                .records(Topic.JOBS)
                .add(new KeyedRecord(JobKeys.submission(job), new byte[] {1}));
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(3_000);

        assertNotNull(newest(Topic.PROGRESS).get(job.value()));
    }

    /**
     * Guards against records that stay for ever after a hand-over: the new leader removes all ended
     * jobs that it has loaded at the same time, which exceeded a call of the store.
     */
    @Test
    void tensOfThousandsOfJobsThatEndedBeforeAHandOverAreRemoved() {
        byte[] completed = new Writer().array(3).integer(1).integer(2).array(0).toBytes();
        for (int number = 0; number < ENDED_JOB_COUNT; number++) {
            JobId job = mFixture.submit(String.format("%016x", number), LeaderFixture.step(1, 1));
            mFixture.mStore.records(Topic.PROGRESS).add(new KeyedRecord(job.value(), completed));
        }
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(1_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(new JobId("0".repeat(16))));
        mFixture.mLoop.advance(REMOVED_AFTER_MILLIS + 120_000);

        assertEquals(0, newest(Topic.JOBS).size());
        // The keep-alive record, the learned interference and the renewals by earlier leaders.
        assertEquals(3, newest(Topic.PROGRESS).size());
    }

    /** Guards against a job that is taken for completed because an earlier one had its id. */
    @Test
    void aJobThatIsSubmittedAgainBeforeTheProgressIsRemovedRuns() {
        Dispatcher first = mFixture.startDispatcher(1);
        JobId job = submitAndRun("job");
        mFixture.mLoop.advance(2 * 120_000 - 3_000);
        mFixture.mStore.refusedTopic = Topic.PROGRESS;
        mFixture.mLoop.advance(6_000);
        assertNull(newest(Topic.JOBS).get(JobKeys.submission(job)));
        assertNotNull(newest(Topic.PROGRESS).get(job.value()));

        mFixture.submit("job", LeaderFixture.step(1, 5_000));
        mFixture.mLoop.advance(500);
        mFixture.mStore.refusedTopic = null;
        mFixture.mLoop.advance(2_000);
        first.close();
        mFixture.mWorkers.add("w3", 8_000);
        mFixture.registerWorker("w3");
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(3_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        assertEquals(1, mFixture.mWorkers.get("w3").started.size());
    }
}
