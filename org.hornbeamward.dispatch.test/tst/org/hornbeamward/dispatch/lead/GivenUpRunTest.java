package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Runs that a leader gives up on evidence that does not rule them out. */
class GivenUpRunTest {
    private final LeaderFixture mFixture = new LeaderFixture();
    private final FakeWorker mFirst = mFixture.mWorkers.get("w1");
    private final FakeWorker mSecond = mFixture.mWorkers.get("w2");

    private void setTaskMillis(long millis) {
        mFirst.taskMillis = millis;
        mSecond.taskMillis = millis;
    }

    private void setLongestLeaseMillis(long millis) {
        mFirst.longestLeaseMillis = millis;
        mSecond.longestLeaseMillis = millis;
    }

    /** Starts a leader that places tasks only on the first worker. */
    private Dispatcher startLeaderThatUsesTheFirstWorker(long advanceMillis) {
        mSecond.draining = true;
        Dispatcher leader = mFixture.startDispatcher(1);
        mFixture.mLoop.advance(advanceMillis);
        return leader;
    }

    /** Has the leader place tasks on the second worker too once it has read the entry. */
    private void offerSecondWorker() {
        mSecond.draining = false;
        mFixture.registerWorker("w2");
    }

    /** Ends a leader that has led for seconds, and starts one that knows that it has stopped. */
    private void replace(Dispatcher leader) {
        leader.close();
        long now = mFixture.mLoop.nowMillis();
        mFixture.startDispatcher(2, new FormerLeader.Stopped(1, now, now - 300));
    }

    private static WorkerEntry asDraining(WorkerEntry entry) {
        return new WorkerEntry(
                entry.id(),
                entry.incarnationStartWallMillis(),
                entry.pool(),
                entry.address(),
                entry.domain(),
                entry.rack(),
                entry.labels(),
                entry.capacity(),
                true,
                entry.drainLeftMillis(),
                entry.clockMillis());
    }

    /** Advances the clock by single milliseconds until a worker has received one more poll. */
    private void advanceToNextPoll() {
        int pollCount = mFixture.mWorkers.pollCount;
        while (mFixture.mWorkers.pollCount == pollCount) {
            mFixture.mLoop.advance(1);
        }
    }

    private void advanceAndExpectOneRun(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += 10) {
            mFixture.mLoop.advance(10);
            mFirst.expireLeases();
            mSecond.expireLeases();
            assertTrue(
                    mFixture.runningCount() <= 1,
                    mFixture.runningCount() + " runs after " + passedMillis + " ms");
        }
    }

    /**
     * Guards against a leader that forgets the leases that it has granted, together with the
     * session of an idle worker whose entry is away for a moment, and starts a task elsewhere while
     * the worker, which is then cut off, still runs it.
     */
    @Test
    void theLeasesOfAWorkerWhoseEntryWasAwayForAMomentAreNotForgotten() {
        setLongestLeaseMillis(10_000);
        setTaskMillis(1_900);
        startLeaderThatUsesTheFirstWorker(20_000);
        mFixture.submit("first", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(100);
        assertEquals(1, mFirst.running().size());
        mFixture.mStore.records(Topic.WORKERS).add(new KeyedRecord("w1", null));
        mFixture.mLoop.advance(2_600);
        assertEquals(1, mFirst.done.size());
        mFixture.registerWorker("w1");
        mFixture.mLoop.advance(500);

        setTaskMillis(30_000);
        mFirst.refusesConnectionsAfterStart = true;
        mFixture.submit("second", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(100);
        assertEquals(1, mFirst.running().size());
        offerSecondWorker();
        advanceAndExpectOneRun(12_000);
        assertEquals(1, mSecond.started.size());
    }

    /**
     * Guards against a new leader that gives up a run because another worker answers at an address
     * that the run's worker had in an earlier incarnation. That one's entry was written late.
     */
    @Test
    void aRunOnALaterIncarnationIsNotGivenUpByAnAnswerAtTheAddressOfAnEarlierOne() {
        setTaskMillis(5_000);
        WorkerEntry earlier = mFirst.entry();
        Dispatcher leader = startLeaderThatUsesTheFirstWorker(300);
        mFirst.restart();
        mFirst.address = "elsewhere";
        mFixture.registerWorker("w1");
        mFixture.mWorkers.add("w3", 4_000).address = "w1";
        mFixture.mLoop.advance(1_000);
        mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(500);
        assertEquals(1, mFirst.running().size());

        mFixture.registerOddEntry(earlier);
        mSecond.draining = false;
        replace(leader);
        advanceAndExpectOneRun(1_000);
        mFixture.registerWorker("w1");
        advanceAndExpectOneRun(8_000);
        assertEquals(List.of(), mSecond.started);
        assertEquals(1, mFirst.done.size());
    }

    /**
     * Guards against an answer of another worker at the address that is overtaken by a restart of
     * the worker, so that a run is given up that was ordered after that answer, and whose order got
     * none.
     */
    @Test
    void aDelayedAnswerOfAnotherWorkerDoesNotEndARunWhoseLaterOrderGotNoAnswer() {
        setTaskMillis(20_000);
        startLeaderThatUsesTheFirstWorker(10_000);
        mFixture.submit("first", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(500);
        mFirst.addressTaken = true;
        mFirst.addressTakenMillis = 1_500;
        advanceToNextPoll();
        mFirst.addressTaken = false;
        mFirst.restart();

        mFirst.startDelayMillis = 10;
        mFixture.submit("second", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(100);
        assertEquals(1, mFirst.running().size());
        mFirst.unreachable = true;
        mSecond.draining = false;
        mFixture.registerWorker("w2");
        for (long passedMillis = 0; passedMillis < 4_000; passedMillis += 10) {
            mFixture.mLoop.advance(10);
            mFirst.expireLeases();
            assertTrue(
                    mFirst.running().isEmpty() || !mSecond.running().containsAll(mFirst.running()),
                    "two runs after " + passedMillis + " ms");
        }
    }

    /**
     * Guards against a new leader that takes a run that its predecessor is stopping for gone, since
     * the worker lists it neither as running nor as ended meanwhile.
     */
    @Test
    void aRunThatTheFormerLeaderIsStoppingIsNotStartedElsewhereBeforeItHasEnded() {
        setTaskMillis(60_000);
        Dispatcher leader = startLeaderThatUsesTheFirstWorker(300);
        mFixture.submit("job", LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(3_000);
        assertEquals(1, mFirst.running().size());
        mFirst.stopMillis = 180;
        mFirst.draining = true;
        mFixture.registerWorker("w1");
        offerSecondWorker();
        while (mFirst.stopCount == 0) {
            mFixture.mLoop.advance(1);
        }
        replace(leader);
        advanceAndExpectOneRun(3_000);
        assertEquals(1, mSecond.running().size());
    }

    /**
     * Guards against a start order of the former leader that a worker carries out in time, but
     * after it has restarted and so has forgotten the fencing token of the new leader. That one
     * gave up the run on account of the worker's list, and does not look at an idle worker again.
     */
    @Test
    @Tag("known-red")
    void aStartOfTheFormerLeaderIsNotCarriedOutByAWorkerThatHasForgottenTheToken() {
        setTaskMillis(10_000);
        Dispatcher leader = startLeaderThatUsesTheFirstWorker(10_000);
        mFirst.startDelayMillis = 800;
        mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(50);
        mFirst.draining = true;
        mSecond.draining = false;
        replace(leader);
        mFirst.startDelayMillis = 0;
        mFixture.mLoop.advance(400);
        assertEquals(1, mSecond.started.size());
        mFirst.restart();
        mFirst.draining = false;
        mFixture.registerWorker("w1");
        advanceAndExpectOneRun(5_000);
    }

    /**
     * Guards against a second run of a task while a worker that restarted during a poll, which got
     * no answer, holds its longest lease. A poll in flight does not fail at once if the link to the
     * worker is cut.
     */
    @Test
    @Tag("known-red")
    void aStartDuringAPollWithoutAnAnswerMayGiveARestartedWorkerItsLongestLease() {
        setLongestLeaseMillis(10_000);
        setTaskMillis(60_000);
        startLeaderThatUsesTheFirstWorker(20_000);
        mFixture.submit("first", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(2_000);
        assertEquals(1, mFirst.running().size());
        mFirst.pollDelayMillis = 60_000;
        advanceToNextPoll();
        mFixture.mLoop.advance(1_000);
        mFirst.restart();

        mFirst.startDelayMillis = 10;
        mFixture.submit("second", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(100);
        assertEquals(1, mFirst.running().size());
        mFirst.unreachable = true;
        mFirst.startDelayMillis = 0;
        mFirst.pollDelayMillis = 0;
        offerSecondWorker();
        for (long passedMillis = 0; passedMillis < 14_000; passedMillis += 10) {
            mFixture.mLoop.advance(10);
            mFirst.expireLeases();
            assertTrue(
                    mFirst.running().isEmpty() || !mSecond.running().containsAll(mFirst.running()),
                    "two runs after " + passedMillis + " ms");
        }
    }

    /**
     * Guards against a second run of a task while a worker that restarted unnoticed, and accepted
     * the task from the former leader, holds its longest lease: the order's deadline was a time on
     * the clock of the ended incarnation.
     */
    @Test
    @Tag("known-red")
    void aNewLeaderWaitsForTheLongestLeaseOfAWorkerThatRestartedUnnoticed() {
        setLongestLeaseMillis(10_000);
        setTaskMillis(60_000);
        Dispatcher leader = startLeaderThatUsesTheFirstWorker(20_000);
        WorkerEntry ended = mFirst.entry();
        mFirst.restart();
        mFirst.pollDelayMillis = 60_000;
        mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(50);
        assertEquals(1, mFirst.running().size());
        mFirst.pollDelayMillis = 0;
        mFirst.unreachable = true;
        mFixture.registerOddEntry(ended);
        mSecond.draining = false;
        replace(leader);
        advanceAndExpectOneRun(14_000);
        assertEquals(1, mSecond.started.size());
    }

    /**
     * Guards against a run that is taken for gone while a stop order takes effect: its worker lists
     * it neither as running nor as ended, and a poll has just shown that the worker has restarted.
     */
    @Test
    void aRunThatIsBeingStoppedOnALaterIncarnationIsNotStartedElsewhereBeforeItHasEnded() {
        for (long offsetMillis = 0; offsetMillis < 600; offsetMillis += 20) {
            GivenUpRunTest test = new GivenUpRunTest();
            test.stopOnALaterIncarnation(offsetMillis);
        }
    }

    private void stopOnALaterIncarnation(long offsetMillis) {
        setTaskMillis(60_000);
        startLeaderThatUsesTheFirstWorker(10_000);
        WorkerEntry ended = mFirst.entry();
        mFirst.restart();
        mFirst.stopMillis = 180;
        mFirst.refusesConnectionsAfterStart = true;
        mFixture.submit("job", LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(1, mFirst.running().size());
        mFixture.registerOddEntry(asDraining(ended));
        offerSecondWorker();
        mFixture.mLoop.advance(600 + offsetMillis);
        mFirst.refusesConnections = false;
        advanceAndExpectOneRun(1_500);
        assertEquals(1, mSecond.started.size());
    }
}
