package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.hornbeamward.dispatch.fake.FakeWorker;
import org.junit.jupiter.api.Test;

/** The leader's readings of the workers' clocks, on which the deadlines of orders depend. */
class WorkerClockTest {
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
