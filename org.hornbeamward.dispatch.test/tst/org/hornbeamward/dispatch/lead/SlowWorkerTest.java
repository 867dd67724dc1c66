package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays workers that turn slow or silent while their tasks run. */
class SlowWorkerTest {
    private static final int USUAL_MILLIS = 800;

    private final LeaderFixture mFixture = new LeaderFixture();

    SlowWorkerTest() {
        mFixture.mWorkers.add("w3", 4_000);
        mFixture.registerWorker("w3");
    }

    private FakeWorker worker(String name) {
        FakeWorker worker = mFixture.mWorkers.get(name);
        worker.taskMillis = USUAL_MILLIS;
        return worker;
    }

    private void startWithSlowWorker() {
        worker("w1");
        worker("w2");
        worker("w3").taskMillis = 10 * USUAL_MILLIS;
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300);
    }

    /**
     * Guards against tasks that stay on a worker at a tenth of its speed, so that their jobs end
     * when their result is worth nothing any more.
     */
    @Test
    void tasksOnASlowWorkerAreCompletedElsewhere() {
        startWithSlowWorker();
        JobId job = mFixture.submit("job", LeaderFixture.step(9, 1_000));

        mFixture.mLoop.advance(5 * USUAL_MILLIS);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
    }

    /**
     * Guards against a slow worker that keeps getting tasks while others have room. All workers are
     * empty again when the second job arrives, so its tasks would be spread over all of them.
     */
    @Test
    void aSlowWorkerGetsNoNewTasksWhileOthersHaveRoom() {
        startWithSlowWorker();
        worker("w3").taskMillis = 3 * USUAL_MILLIS;
        mFixture.submit("first", LeaderFixture.step(9, 1_000));
        mFixture.mLoop.advance(2_800);
        assertEquals(0, mFixture.mWorkers.get("w3").running().size());
        int startedCount = mFixture.mWorkers.get("w3").started.size();
        assertTrue(startedCount > 0);

        mFixture.submit("second", LeaderFixture.step(3, 1_000));
        mFixture.mLoop.advance(300);

        assertEquals(startedCount, mFixture.mWorkers.get("w3").started.size());
        assertEquals(3, mFixture.runningCount());
    }

    /** Guards against a worker that is avoided for good after it has recovered. */
    @Test
    void aWorkerThatHasRecoveredIsUsedAgain() {
        startWithSlowWorker();
        mFixture.submit("first", LeaderFixture.step(9, 1_000));
        mFixture.mLoop.advance(3 * USUAL_MILLIS);
        int startedCount = worker("w3").started.size();
        mFixture.mLoop.advance(13_000);

        JobId second = mFixture.submit("second", LeaderFixture.step(9, 1_000));
        mFixture.mLoop.advance(3 * USUAL_MILLIS);

        assertTrue(mFixture.mWorkers.get("w3").started.size() > startedCount);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(second));
    }

    /**
     * Guards against running work that is started elsewhere or given up because its worker did not
     * answer for three seconds.
     */
    @Test
    void workOnAWorkerThatIsSilentForThreeSecondsGoesOn() {
        worker("w1").taskMillis = 6_000;
        worker("w2").taskMillis = 6_000;
        worker("w3").taskMillis = 6_000;
        mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.step(3, 3_000));
        mFixture.mLoop.advance(1_000);
        mFixture.mWorkers.get("w1").unreachable = true;
        mFixture.mLoop.advance(3_000);
        mFixture.mWorkers.get("w1").unreachable = false;
        mFixture.mLoop.advance(6_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
        assertEquals(3, mFixture.startedCount() + mFixture.mWorkers.get("w3").started.size());
    }

    /**
     * Guards against a worker that gets no task ever again after it was cut off while idle: it
     * counted as silent until a poll was answered, and idle workers were not polled.
     */
    @Test
    void anIdleWorkerThatWasCutOffForAMomentIsUsedAgain() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300);
        for (String name : new String[] {"w1", "w2", "w3"}) {
            worker(name).refusesConnections = true;
        }
        JobId job = mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(2_500);
        assertEquals(JobPhase.QUEUED, mFixture.mPhases.get(job));

        for (String name : new String[] {"w1", "w2", "w3"}) {
            worker(name).refusesConnections = false;
        }
        mFixture.mLoop.advance(3_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
    }

    /** Guards against polls without end of a worker that is gone and whose entry has expired. */
    @Test
    void anIdleSilentWorkerIsNotPolledOnceItsEntryIsGone() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300);
        for (String name : new String[] {"w1", "w2", "w3"}) {
            worker(name).refusesConnections = true;
        }
        mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(4_500);
        for (String name : new String[] {"w1", "w2", "w3"}) {
            mFixture.mStore.records(Topic.WORKERS).add(new KeyedRecord(name, null));
        }
        mFixture.mLoop.advance(4_000);
        int pollCount = mFixture.mWorkers.pollCount;
        mFixture.mLoop.advance(10_000);

        assertEquals(pollCount, mFixture.mWorkers.pollCount);
    }

    /**
     * Guards against a worker that has left and is used again by a leader that has just started.
     */
    @Test
    void aWorkerThatHasLeftIsNotUsedByANewLeader() {
        startWithSlowWorker();
        mFixture.mStore.records(Topic.WORKERS).add(new KeyedRecord("w3", null));
        mFixture.mLoop.advance(300);
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(300);

        mFixture.submit("job", LeaderFixture.step(9, 1_000));
        mFixture.mLoop.advance(2_000);

        assertTrue(mFixture.mWorkers.get("w3").started.isEmpty());
        assertEquals(9, mFixture.startedCount());
    }

    /**
     * Guards against a job that is shown as running, and so is missing from the count of waiting
     * jobs, while its start orders get no answer.
     */
    @Test
    void aJobWaitsUntilAWorkerHasStartedATask() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300);
        for (String name : new String[] {"w1", "w2", "w3"}) {
            worker(name).unreachable = true;
        }
        JobId job = mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(1_500);
        assertEquals(JobPhase.QUEUED, mFixture.mPhases.get(job));

        for (String name : new String[] {"w1", "w2", "w3"}) {
            worker(name).unreachable = false;
        }
        mFixture.mLoop.advance(3_000);
        JobId second = mFixture.submit("second", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(300);

        assertEquals(JobPhase.RUNNING, mFixture.mPhases.get(second));
        mFixture.mLoop.advance(5_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
    }

    /**
     * Guards against a worker that refuses every start as late: the leader's lower bound for the
     * clock of a worker that has been idle for minutes is over two seconds behind.
     */
    @Test
    void aTaskStartsOnAWorkerThatHasBeenIdleForMinutes() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300_000);
        JobId job = mFixture.submit("job", LeaderFixture.step(1, 1_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
    }

    /**
     * Guards against a second run of a task while the first one is being stopped, whenever the stop
     * falls between two polls.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150, 300, 450, 600, 750, 900})
    void aRunThatIsListedNowhereWhileItStopsIsNotStartedElsewhereBeforeItHasEnded(long millis) {
        mFixture.startDispatcher(1);
        mFixture.submit("job", LeaderFixture.longRunning(1, 1_000));
        List<FakeWorker> workers = Stream.of("w1", "w2", "w3").map(mFixture.mWorkers::get).toList();
        for (FakeWorker worker : workers) {
            worker.taskMillis = 60_000;
            worker.stopMillis = 180;
        }
        mFixture.mLoop.advance(1_500 + millis);
        FakeWorker busy =
                workers.stream().filter(w -> !w.running().isEmpty()).findFirst().orElseThrow();
        busy.draining = true;
        mFixture.registerWorker(busy.entry().id().value());
        for (int step = 0; step < 300; step++) {
            mFixture.mLoop.advance(10);
            int runCount = workers.stream().mapToInt(worker -> worker.running().size()).sum();
            assertTrue(runCount <= 1, runCount + " runs");
        }
        assertEquals(2, workers.stream().mapToInt(worker -> worker.started.size()).sum());
    }
}
