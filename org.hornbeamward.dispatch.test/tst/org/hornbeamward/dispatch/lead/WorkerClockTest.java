package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/** The leader's readings of the workers' clocks, on which the deadlines of orders depend. */
class WorkerClockTest {
    /** How long a start order may be valid. */
    private static final long ORDER_VALID_MILLIS = 2_000;

    /** Interval at which a worker writes its entry. */
    private static final long ENTRY_INTERVAL_MILLIS = 1_500;

    private final LeaderFixture mFixture = new LeaderFixture();
    private final FakeWorker mFirst = mFixture.mWorkers.get("w1");
    private final FakeWorker mSecond = mFixture.mWorkers.get("w2");

    private void idleWithEntriesFor(long millis) {
        for (long passed = 0; passed < millis; passed += ENTRY_INTERVAL_MILLIS) {
            mFixture.registerWorker("w1");
            mFixture.registerWorker("w2");
            mFixture.mLoop.advance(ENTRY_INTERVAL_MILLIS);
        }
    }

    private void checkOrdersAreNotValidForLonger() {
        for (FakeWorker worker : List.of(mFirst, mSecond)) {
            assertTrue(worker.maxOrderValidMillis <= ORDER_VALID_MILLIS);
        }
    }

    /**
     * Guards against starts that are rejected as late, until a poll happens to go out, because the
     * last reading of an idle worker's clock is minutes old.
     */
    @Test
    void aTaskStartsAtTheFirstOrderAfterMinutesWithoutWork() {
        mFixture.startDispatcher(1);
        idleWithEntriesFor(400_000);
        JobId job = mFixture.submit("job", LeaderFixture.gang(2, 3_000));
        mFixture.mLoop.advance(800);

        assertEquals(0, mFirst.lateCount + mSecond.lateCount);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        checkOrdersAreNotValidForLonger();
    }

    /** Guards against the same when the worker's entries did not reach the store meanwhile. */
    @Test
    void theClockInARejectionIsUsedForTheNextOrder() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(400_000);
        JobId job = mFixture.submit("job", LeaderFixture.step(1, 3_000));
        mFixture.mLoop.advance(1_000);

        assertTrue(mFirst.lateCount + mSecond.lateCount <= 2);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        checkOrdersAreNotValidForLonger();
    }

    /** Guards against an entry that was written long before it was read and sets the clock back. */
    @Test
    void anEntryThatWasWrittenLongAgoDoesNotSetTheClockBack() {
        mFixture.startDispatcher(1);
        WorkerEntry first = mFirst.entry();
        WorkerEntry second = mSecond.entry();
        idleWithEntriesFor(30_000);
        mFixture.registerOddEntry(first);
        mFixture.registerOddEntry(second);
        mFixture.mLoop.advance(1_000);
        mFixture.submit("job", LeaderFixture.step(1, 3_000));
        mFixture.mLoop.advance(1_000);

        assertEquals(0, mFirst.lateCount + mSecond.lateCount);
        checkOrdersAreNotValidForLonger();
    }

    /**
     * Guards against an answer without a clock that counts as a clock of 0: the leases of a worker
     * that is lost then seem to last for as long as it has been up.
     */
    @Test
    void anAnswerWithoutAClockDoesNotProlongTheWaitForALostWorker() {
        mFirst.taskMillis = 30_000;
        mSecond.taskMillis = 30_000;
        mFixture.startDispatcher(1);
        idleWithEntriesFor(60_000);
        mFirst.omitsClock = true;
        mSecond.omitsClock = true;
        mFixture.submit("job", LeaderFixture.step(1, 3_000));
        mFixture.mLoop.advance(200);
        assertEquals(1, mFixture.runningCount());
        FakeWorker lost = mFirst.running().isEmpty() ? mSecond : mFirst;
        lost.refusesConnections = true;
        mFixture.mLoop.advance(14_000);

        assertEquals(2, mFixture.startedCount());
    }
}
