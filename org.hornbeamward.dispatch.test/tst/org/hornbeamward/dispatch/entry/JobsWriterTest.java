package org.hornbeamward.dispatch.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.hornbeamward.dispatch.fake.FakeStore;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.junit.jupiter.api.Test;

/** Storing submissions while the store works, refuses appends or loses answers. */
class JobsWriterTest {
    private final VirtualLoop mLoop = new VirtualLoop();
    private final FakeStore mStore = new FakeStore(mLoop);
    private final JobsWriter mWriter = new JobsWriter(mLoop, mStore);

    private CompletableFuture<JobsWriter.Outcome> store(String key) {
        return mWriter.store(new KeyedRecord(key, new byte[] {1}), mLoop.nowMillis() + 2_900);
    }

    /** Guards against a separate append for each submission of a burst. */
    @Test
    void concurrentSubmissionsShareAnAppend() {
        for (int job = 0; job < 20; job++) {
            store("j/" + job);
        }
        mLoop.advance(50);
        assertEquals(2, mStore.appendCount);
        assertEquals(20, mStore.records(Topic.JOBS).size());
    }

    /** Guards against callers that wait although the store refuses all appends. */
    @Test
    void duringAnOutageSubmissionsAreRefusedAtOnce() {
        mStore.down = true;
        CompletableFuture<JobsWriter.Outcome> first = store("j/1");
        mLoop.advance(20);
        CompletableFuture<JobsWriter.Outcome> second = store("j/2");
        assertInstanceOf(JobsWriter.Outcome.NotStored.class, second.join());
        mLoop.advance(400);
        assertInstanceOf(JobsWriter.Outcome.NotStored.class, first.join());
    }

    /** Guards against an answer "not run" for a job that is stored. */
    @Test
    void aLostAnswerIsNeverReportedAsNotStored() {
        mStore.loseAnswerCount = 1;
        CompletableFuture<JobsWriter.Outcome> repeated = store("j/1");
        mLoop.advance(900);
        assertInstanceOf(JobsWriter.Outcome.Stored.class, repeated.join());
        mStore.loseAnswerCount = 100;
        CompletableFuture<JobsWriter.Outcome> unknown = store("j/2");
        mLoop.advance(900);
        assertFalse(unknown.isDone());
        mLoop.advance(900);
        assertInstanceOf(JobsWriter.Outcome.Unknown.class, unknown.join());
    }

    /** Guards against an entry that still refuses submissions after an outage of the store. */
    @Test
    void theFirstSubmissionAfterAnOutageIsStored() {
        mStore.down = true;
        store("j/1");
        mLoop.advance(1_000);
        mStore.down = false;
        CompletableFuture<JobsWriter.Outcome> later = store("j/2");
        mLoop.advance(200);
        assertInstanceOf(JobsWriter.Outcome.Stored.class, later.join());
        assertTrue(mWriter.isAvailable());
    }

    /**
     * Guards against a repeated request that is told "not stored" while the append of the first one
     * has got no answer and may still take effect.
     */
    @Test
    void aRepeatedRequestIsNotRefusedWhileAnEarlierAppendMayTakeEffect() {
        mStore.loseAnswerCount = 100;
        CompletableFuture<JobsWriter.Outcome> first = store("j/1");
        mLoop.advance(2_000);
        assertInstanceOf(JobsWriter.Outcome.Unknown.class, first.join());
        mStore.loseAnswerCount = 0;
        mStore.down = true;

        CompletableFuture<JobsWriter.Outcome> repeated = store("j/1");
        CompletableFuture<JobsWriter.Outcome> other = store("j/2");
        mLoop.advance(1_000);

        assertInstanceOf(JobsWriter.Outcome.Unknown.class, repeated.join());
        assertInstanceOf(JobsWriter.Outcome.NotStored.class, other.join());
    }

    /** Guards against callers without an answer, or with a wrong one, when a process ends. */
    @Test
    void whenTheProcessEndsOnlyWhatMayBeStoredHasAnUnknownOutcome() {
        mStore.loseAnswerCount = 100;
        CompletableFuture<JobsWriter.Outcome> sent = store("j/1");
        CompletableFuture<JobsWriter.Outcome> unsent = store("j/2");

        mWriter.stop();

        assertInstanceOf(JobsWriter.Outcome.Unknown.class, sent.join());
        assertInstanceOf(JobsWriter.Outcome.NotStored.class, unsent.join());
        assertInstanceOf(JobsWriter.Outcome.Unknown.class, store("j/1").join());
        assertInstanceOf(JobsWriter.Outcome.NotStored.class, store("j/3").join());
        mLoop.advance(3_000);
        assertEquals(1, mStore.appendCount);
    }

    /** Guards against a "not stored" for a record whose first append may yet take effect. */
    @Test
    void aRecordThatWaitsForARepeatedAppendMayBeStoredWhenTheProcessEnds() {
        mStore.loseAnswerCount = 100;
        CompletableFuture<JobsWriter.Outcome> repeated = store("j/1");
        mLoop.advance(520);
        assertEquals(1, mStore.appendCount);

        mWriter.stop();

        assertInstanceOf(JobsWriter.Outcome.Unknown.class, repeated.join());
        mLoop.advance(3_000);
        assertEquals(1, mStore.appendCount);
    }
}
