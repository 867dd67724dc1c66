package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Entries of another writer that can be decoded and stand under the id of a worker. */
class OddWorkerEntryTest {
    private static final long YEAR_MILLIS = 365L * 24 * 3_600_000;

    private final LeaderFixture mFixture = new LeaderFixture();
    private final FakeWorker mFirst = mFixture.mWorkers.get("w1");
    private final FakeWorker mSecond = mFixture.mWorkers.get("w2");

    private static WorkerEntry oddEntry(WorkerEntry entry, long startWallMillis, String address) {
        return oddEntry(entry, startWallMillis, entry.pool(), address);
    }

    private static WorkerEntry oddEntry(
            WorkerEntry entry, long startWallMillis, String pool, String address) {
        return new WorkerEntry(
                entry.id(),
                startWallMillis,
                pool,
                address,
                entry.domain(),
                entry.rack(),
                entry.labels(),
                entry.capacity(),
                entry.draining(),
                entry.drainLeftMillis(),
                entry.clockMillis());
    }

    private void writeEntriesFor(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += 1_500) {
            mFixture.registerWorker("w1");
            mFixture.registerWorker("w2");
            mFixture.mLoop.advance(1_500);
        }
    }

    /**
     * Guards against an entry with a start time in the far future that ends the session with the
     * worker, so that its work is started again while it runs, and hides all its later entries.
     */
    @Test
    void anEntryWithAStartTimeInTheFarFutureChangesNothing() {
        mFirst.taskMillis = 20_000;
        mSecond.taskMillis = 20_000;
        mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.step(2, 3_000));
        mFixture.mLoop.advance(3_000);
        assertEquals(2, mFixture.runningCount());

        long futureMillis = mFixture.mLoop.wallMillis() + YEAR_MILLIS;
        mFixture.registerOddEntry(oddEntry(mFirst.entry(), futureMillis, "elsewhere"));
        writeEntriesFor(25_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        assertEquals(2, mFixture.startedCount());
    }

    /**
     * Guards against an entry that names another address for an incarnation that answers at its
     * own, so that orders go elsewhere and its runs are given up while they go on.
     */
    @Test
    void anEntryWithAnotherAddressForAWorkerThatAnswersChangesNothing() {
        mFirst.taskMillis = 5_000;
        mSecond.taskMillis = 5_000;
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.step(2, 3_000));
        mFixture.mLoop.advance(3_000);
        assertEquals(2, mFixture.runningCount());

        WorkerEntry entry = mFirst.entry();
        mFixture.registerOddEntry(oddEntry(entry, entry.incarnationStartWallMillis(), "elsewhere"));
        mFixture.mLoop.advance(1_000);

        assertTrue(
                mFixture.mWorkers.lastAddresses.values().stream().noneMatch("elsewhere"::equals));
        writeEntriesFor(6_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        assertEquals(2, mFixture.startedCount());
        assertTrue(dispatcher.isReady());
    }

    /**
     * Guards against a worker that is never used because an odd entry with another address was read
     * before its own.
     */
    @Test
    void anEntryWithAnotherAddressThatWasReadFirstIsReplacedByTheWorkersOwn() {
        WorkerEntry entry = mFirst.entry();
        mFixture.registerOddEntry(oddEntry(entry, entry.incarnationStartWallMillis(), "elsewhere"));
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(500);
        mFixture.registerWorker("w1");
        mFixture.mLoop.advance(1_000);
        JobId job = mFixture.submit("job", LeaderFixture.step(2, 3_000));
        mFixture.mLoop.advance(3_000);

        assertEquals("w1", mFixture.mWorkers.lastAddresses.get("w1"));
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
    }

    /** Guards against a worker that leaves its pool because of an entry with another service. */
    @Test
    void anEntryWithAnotherPoolForAWorkerThatAnswersChangesNothing() {
        mFixture.startDispatcher(1);
        mFixture.submit("first", LeaderFixture.step(2, 3_000));
        mFixture.mLoop.advance(2_000);
        for (FakeWorker worker : List.of(mFirst, mSecond)) {
            WorkerEntry entry = worker.entry();
            long startMillis = entry.incarnationStartWallMillis();
            mFixture.registerOddEntry(oddEntry(entry, startMillis, "unnamed", entry.address()));
        }
        mFixture.mLoop.advance(1_000);
        JobId job = mFixture.submit("second", LeaderFixture.step(2, 3_000));
        mFixture.mLoop.advance(1_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
    }

    /** Advances the clock and checks that no more tasks run than the job has. */
    private void advanceAndExpectOneRun(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += 10) {
            mFixture.mLoop.advance(10);
            assertTrue(mFixture.runningCount() <= 1, "two runs after " + passedMillis + " ms");
        }
    }

    /** Starts a task on the first worker, the others go to the second; returns the leader. */
    private Dispatcher startTaskOnTheFirstWorker() {
        mFirst.taskMillis = 10_000;
        mSecond.taskMillis = 10_000;
        mSecond.draining = true;
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(3_000);
        assertEquals(1, mFirst.running().size());
        mFirst.draining = true;
        mSecond.draining = false;
        mFixture.registerWorker("w1");
        mFixture.registerWorker("w2");
        mFixture.mLoop.advance(1_000);
        return dispatcher;
    }

    private void replace(Dispatcher leader) {
        leader.close();
        long now = mFixture.mLoop.nowMillis();
        mFixture.startDispatcher(2, new FormerLeader.Stopped(1, now, now - 2_000));
    }

    /**
     * Guards against a new leader that reads an entry without a start time first, and gives up a
     * run that it has seen on the worker once the worker's own entry follows.
     */
    @Test
    void anEntryWithoutAStartTimeThatANewLeaderReadsFirstEndsNoRun() {
        Dispatcher leader = startTaskOnTheFirstWorker();
        mFixture.registerOddEntry(oddEntry(mFirst.entry(), 0, mFirst.address));
        replace(leader);
        advanceAndExpectOneRun(1_000);
        mFixture.registerWorker("w1");
        advanceAndExpectOneRun(9_000);
        assertEquals(1, mFixture.startedCount());
    }

    /**
     * Guards against polls without a pause: a worker answers at once while it has ends, and these
     * are not acknowledged as long as an entry without a start time hides its incarnation.
     */
    @Test
    void aWorkerWhoseEntryHasNoStartTimeIsNotPolledWithoutPause() {
        mFirst.taskMillis = 60_000;
        mSecond.draining = true;
        Dispatcher leader = mFixture.startDispatcher(1);
        mFixture.submit("long", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(1_000);
        mFirst.taskMillis = 2_000;
        mFixture.submit("short", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(2, mFirst.running().size());
        mFixture.registerOddEntry(oddEntry(mFirst.entry(), 0, mFirst.address));
        replace(leader);
        mFixture.mLoop.advance(3_000);
        assertEquals(1, mFirst.running().size());
        int pollCount = mFixture.mWorkers.pollCount;
        mFixture.mLoop.advance(3_000);
        assertTrue(
                mFixture.mWorkers.pollCount - pollCount <= 3_000 / 150 + 1,
                mFixture.mWorkers.pollCount - pollCount + " polls within 3 s");
    }

    /** Guards against an entry that ends runs since its start time is a little later. */
    @Test
    @Tag("known-red")
    void anEntryWithALaterStartTimeDoesNotEndRunsOfAWorkerThatAnswers() {
        startTaskOnTheFirstWorker();
        long laterMillis = mFixture.mLoop.wallMillis();
        mFixture.registerOddEntry(oddEntry(mFirst.entry(), laterMillis, mFirst.address));
        advanceAndExpectOneRun(9_000);
        assertEquals(1, mFixture.startedCount());
    }

    /**
     * Guards against a new leader that gives up the runs of a worker because another one answers at
     * the address in an odd entry.
     */
    @Test
    @Tag("known-red")
    void anEntryWithTheAddressOfAnotherWorkerDoesNotEndTheRunsThatANewLeaderInherits() {
        Dispatcher leader = startTaskOnTheFirstWorker();
        WorkerEntry entry = mFirst.entry();
        mFixture.registerOddEntry(oddEntry(entry, entry.incarnationStartWallMillis(), "w2"));
        replace(leader);
        advanceAndExpectOneRun(1_000);
        mFixture.registerWorker("w1");
        advanceAndExpectOneRun(9_000);
        assertEquals(1, mFixture.startedCount());
    }
}
