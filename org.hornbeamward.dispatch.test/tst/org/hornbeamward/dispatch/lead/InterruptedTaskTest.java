package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long-running tasks that are away while there is room for them. */
class InterruptedTaskTest {
    /** Time after the last run at which callers count a long-running task as lost. */
    private static final long LOST_AFTER_MILLIS = 9_000;

    private final LeaderFixture mFixture = new LeaderFixture();
    private int mShortJobCount;

    @BeforeEach
    void useOneWorker() {
        worker("w2").draining = true;
        worker("w1").taskMillis = 60_000;
    }

    private FakeWorker worker(String name) {
        return mFixture.mWorkers.get(name);
    }

    private FakeWorker addWorker(String name, long cpuMillicores) {
        FakeWorker worker = mFixture.mWorkers.add(name, cpuMillicores);
        mFixture.registerWorker(name);
        mFixture.mLoop.advance(1_000);
        return worker;
    }

    private JobId submitLasting(String id, long cpuMillicores) {
        JobId job = mFixture.submit(id, LeaderFixture.longRunning(1, cpuMillicores));
        mFixture.mLoop.advance(2_000);
        return job;
    }

    private void submitShort() {
        mFixture.submit("short" + mShortJobCount++, LeaderFixture.step(1, 3_000));
    }

    private static TaskName taskOf(JobId job) {
        return new TaskName(job, 0, 0, 0);
    }

    /** Returns whether the task of a job starts within a time, beside a stream of short jobs. */
    private boolean startsWithin(JobId job, FakeWorker worker, long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += 100) {
            submitShort();
            mFixture.mLoop.advance(100);
            if (worker.started.contains(taskOf(job))) {
                return true;
            }
        }
        return false;
    }

    /** Guards against failed starts after which the task waits behind new work once more. */
    @Test
    void aTaskOfALostWorkerGoesFirstAlsoAfterStartsThatFailed() {
        mFixture.startDispatcher(1);
        JobId lasting = submitLasting("lasting", 1_500);
        // Another worker that is gone, whose entry is still listed.
        addWorker("w3", 2_000).refusesConnections = true;
        FakeWorker sound = addWorker("w4", 4_000);
        worker("w1").refusesConnections = true;
        assertTrue(
                startsWithin(lasting, sound, LOST_AFTER_MILLIS),
                "the task of the lost worker has not started again");
    }

    /** Guards against a start that the former leader did not send, and that resets the wait. */
    @Test
    void aTaskThatTheFormerLeaderPlacedInVainGoesFirst() {
        Dispatcher leader = mFixture.startDispatcher(1);
        JobId lasting = submitLasting("lasting", 1_500);
        FakeWorker sound = addWorker("w3", 4_000);
        sound.startDelayMillis = 60_000;
        worker("w1").refusesConnections = true;
        mFixture.mLoop.advance(6_500);
        leader.close();
        sound.startDelayMillis = 0;
        submitShort();
        submitShort();
        mFixture.startDispatcher(2);
        assertTrue(
                startsWithin(lasting, sound, LOST_AFTER_MILLIS - 6_500),
                "the task of the lost worker has not started again");
    }

    /** Guards against room kept for a task that fits nowhere, which others could use. */
    @Test
    void roomThatIsKeptForALargeTaskDoesNotKeepASmallerOneAway() {
        mFixture.startDispatcher(1);
        submitLasting("large", 2_500);
        JobId small = submitLasting("small", 1_500);
        FakeWorker full = addWorker("w3", 4_000);
        full.taskMillis = 60_000;
        mFixture.submit("full", LeaderFixture.step(1, 4_000));
        mFixture.mLoop.advance(1_000);
        FakeWorker half = addWorker("w4", 4_000);
        half.taskMillis = 60_000;
        mFixture.submit("half", LeaderFixture.step(1, 2_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(1, full.running().size());
        assertEquals(1, half.running().size());
        worker("w1").refusesConnections = true;
        mFixture.mLoop.advance(LOST_AFTER_MILLIS);
        assertTrue(
                half.started.contains(taskOf(small)),
                "the smaller task has not started again beside 2,000 free millicores");
    }

    /** Guards against a slow store that makes a leader ask a worker for ever. */
    @ParameterizedTest
    @ValueSource(longs = {8, 150, 400})
    void aLostTaskStartsOnAnIdleWorkerAlsoWhileTheStoreIsSlow(long appendMillis) {
        mFixture.startDispatcher(1);
        JobId lasting = submitLasting("lasting", 3_500);
        addWorker("w3", 2_000).taskMillis = 300;
        worker("w1").refusesConnections = true;
        mFixture.mLoop.advance(7_300);
        mFixture.mStore.appendMillis = appendMillis;
        FakeWorker idle = mFixture.mWorkers.add("w4", 3_500);
        mFixture.registerWorker("w4");
        for (long passedMillis = 0; passedMillis < 2_500; passedMillis += 50) {
            mFixture.submit("small" + passedMillis, LeaderFixture.step(1, 100));
            mFixture.mLoop.advance(50);
        }
        assertTrue(idle.started.contains(taskOf(lasting)), "started " + idle.started);
    }
}
