package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Stop orders that are repeated, and those that find no connection. */
class StopRepetitionTest {
    private final LeaderFixture mFixture = new LeaderFixture();

    private List<FakeWorker> workers() {
        return List.of(mFixture.mWorkers.get("w1"), mFixture.mWorkers.get("w2"));
    }

    private JobId startTask(int taskCount) {
        workers().forEach(worker -> worker.taskMillis = 120_000);
        mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.longRunning(taskCount, 1_000));
        mFixture.mLoop.advance(2_000);
        assertEquals(taskCount, mFixture.runningCount());
        return job;
    }

    /** Guards against a run of a cancelled job that goes on for good after a single stop order. */
    @Test
    void aRunThatGoesOnAfterItsStopWasConfirmedIsStoppedAgain() {
        JobId job = startTask(1);
        workers().forEach(worker -> worker.ignoredStopCount = 1);
        mFixture.cancel(job);
        mFixture.mLoop.advance(3_200);

        assertEquals(0, mFixture.runningCount());
    }

    /** A worker that never stops a run gets few orders, and the task starts nowhere else. */
    @Test
    void aWorkerThatNeverStopsGetsFewOrders() {
        JobId job = startTask(1);
        workers().forEach(worker -> worker.ignoredStopCount = 1_000);
        mFixture.cancel(job);
        mFixture.mLoop.advance(20_000);

        assertEquals(1, mFixture.startedCount());
        int stops = workers().stream().mapToInt(worker -> worker.stopCount).sum();
        assertTrue(stops >= 10 && stops <= 80, stops + " stops");
        workers().forEach(worker -> worker.ignoredStopCount = 0);
        mFixture.mLoop.advance(3_000);
        assertEquals(0, mFixture.runningCount());
        assertEquals(1, mFixture.startedCount());
    }

    /**
     * Guards against a run of a cancelled job that goes on at a worker whose other connections are
     * in use: its polls go on over the one that is left and renew the leases, so the stop order has
     * to get a turn on it.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 6})
    void stopsGetThroughToAWorkerThatAcceptsOnlyTheConnectionOfThePolls(int taskCount) {
        JobId job = startTask(taskCount);
        workers().forEach(worker -> worker.hasOneConnection = true);
        mFixture.mLoop.advance(3_000);
        mFixture.cancel(job);
        mFixture.mLoop.advance(3_000);

        assertEquals(0, mFixture.runningCount());
    }
}
