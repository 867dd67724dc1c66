package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.WorkerControl;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Workers that list a run which the leader has given up or never knew. */
class UnknownRunTest {
    private static final int ATTEMPT = 3;

    private final LeaderFixture mFixture = new LeaderFixture();
    private JobId mJob = new JobId("waiting");
    private TaskName mTask = new TaskName(mJob, 0, 0, 0);

    /** Fills both workers, so that the task of a further job waits. */
    @BeforeEach
    void letATaskWaitForRoom() {
        worker("w1").taskMillis = 4_000;
        worker("w2").taskMillis = 4_000;
        mFixture.startDispatcher(1);
        mFixture.submit("full", LeaderFixture.step(8, 1_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(8, mFixture.runningCount());
        mJob = mFixture.submit("waiting", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(500);
        mTask = new TaskName(mJob, 0, 0, 0);
        assertEquals(8, mFixture.startedCount());
    }

    private FakeWorker worker(String name) {
        return mFixture.mWorkers.get(name);
    }

    /** Has a worker carry out an order for the waiting task that the leader does not know of. */
    private void startUnknownRun(String name, long workMillis) {
        FakeWorker worker = worker(name);
        worker.taskMillis = workMillis;
        mFixture.mWorkers.start(
                worker.entry(),
                new WorkerControl.StartOrder(
                        mTask, ATTEMPT, "payload", worker.entry().clockMillis() + 2_000, 1, "", ""),
                900);
        mFixture.mLoop.advance(10);
        assertTrue(worker.running().contains(mTask));
    }

    private long runCountOfTask() {
        return (worker("w1").running().contains(mTask) ? 1 : 0)
                + (worker("w2").running().contains(mTask) ? 1 : 0);
    }

    private void advanceAndExpectOneRunOfTheTask(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += 10) {
            mFixture.mLoop.advance(10);
            assertTrue(runCountOfTask() <= 1, "two runs after " + passedMillis + " ms");
        }
    }

    /**
     * Guards against a task that is started while an unknown run of it is being stopped, here by
     * stop orders that the worker confirms and does not carry out at first.
     */
    @Test
    void aTaskIsNotStartedWhileAnUnknownRunOfItMayGoOn() {
        startUnknownRun("w1", 60_000);
        // Each confirmed stop is checked by a poll that was sent 1.2 s after the one before.
        worker("w1").ignoredStopCount = 8;
        worker("w1").draining = true;
        mFixture.registerWorker("w1");
        worker("w2").taskMillis = 1_000;
        advanceAndExpectOneRunOfTheTask(13_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(mJob));
        assertEquals(10, mFixture.startedCount());
    }

    /** Guards against work that is done again, or twice, after an unknown run has ended. */
    @Test
    void anUnknownRunThatEndsBeforeItIsStoppedCompletesItsTask() {
        startUnknownRun("w1", 1_200);
        worker("w1").ignoredStopCount = 100;
        advanceAndExpectOneRunOfTheTask(10_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(mJob));
        assertEquals(9, mFixture.startedCount());
    }

    /** Guards against a worker that is lost with an unknown run while its leases may last. */
    @Test
    void aTaskWaitsForTheLeasesOfAWorkerThatHasListedAnUnknownRunOfIt() {
        startUnknownRun("w1", 60_000);
        worker("w1").ignoredStopCount = 100;
        mFixture.mLoop.advance(1_100);
        worker("w1").unreachable = true;
        for (long passedMillis = 0; passedMillis < 12_000; passedMillis += 10) {
            mFixture.mLoop.advance(10);
            worker("w1").expireLeases();
            assertTrue(runCountOfTask() <= 1, "two runs after " + passedMillis + " ms");
        }
        assertTrue(worker("w2").started.contains(mTask));
    }
}
