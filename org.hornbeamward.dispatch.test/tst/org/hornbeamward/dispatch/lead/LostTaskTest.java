package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.lead.RandomFaults.Event;
import org.hornbeamward.dispatch.lead.RandomFaults.Kind;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tasks that last and stay away although there is room for them twice (rule LOST). */
class LostTaskTest {
    /** Time from the end of a worker to the removal of its entry. */
    private static final long ENTRY_LIFE_MILLIS = 4_500;

    private final LeaderFixture mFixture = new LeaderFixture();

    private void register(FakeWorker worker, String name) {
        worker.draining = false;
        mFixture.registerWorker(name);
        mFixture.mLoop.advance(2_000);
    }

    private JobId submit(String id, long cpuMillicores) {
        JobId job = mFixture.submit(id, LeaderFixture.longRunning(1, cpuMillicores));
        mFixture.mLoop.advance(2_000);
        return job;
    }

    /** Guards against room that is kept for a large lost task from a small one that fits there. */
    @Test
    void roomThatIsKeptForALargeLostTaskDoesNotKeepASmallOneAway() {
        FakeWorker first = mFixture.mWorkers.get("w1");
        FakeWorker second = mFixture.mWorkers.get("w2");
        first.draining = true;
        first.taskMillis = 600_000;
        second.taskMillis = 600_000;
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(300);
        submit("other", 3_500);
        FakeWorker lost = mFixture.mWorkers.add("w3", 4_500);
        lost.taskMillis = 600_000;
        register(lost, "w3");
        submit("large", 3_000);
        TaskName small = new TaskName(submit("small", 1_000), 0, 0, 0);
        register(first, "w1");
        mFixture.submit("short", LeaderFixture.step(2, 1_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(1, second.running().size());
        assertEquals(2, lost.running().size());
        assertEquals(2, first.running().size());
        lost.refusesConnections = true;
        mFixture.mLoop.advance(ENTRY_LIFE_MILLIS);
        mFixture.mStore.records(Topic.WORKERS).add(new KeyedRecord("w3", null));
        mFixture.mLoop.advance(RunHistory.AWAY_MILLIS + RunHistory.ROOM_MILLIS - ENTRY_LIFE_MILLIS);
        assertTrue(first.running().contains(small), "on w1 run only " + first.running());
    }

    /** Guards against a lost task that is pinned by an order to a worker that was lost as well. */
    @Test
    void anOrderToAnIdleWorkerThatWasLostUnnoticedDoesNotKeepALostTaskAway() {
        List<Event> schedule =
                List.of(
                        new Event(1_119, Kind.SUBMIT_LASTING, 13, 0),
                        new Event(1_336, Kind.SUBMIT_LASTING, 13, 0),
                        new Event(6_303, Kind.GONE, 3, 0),
                        new Event(6_303, Kind.GONE, 2, 0),
                        new Event(11_143, Kind.GONE_SILENTLY, 4, 0));
        assertEquals(List.of(), RandomFaults.runLoss(433, schedule));
    }

    /** Guards against the same where the task is away since its worker was down for 2.3 s. */
    @Test
    void anOrderToAnIdleWorkerThatWasLostUnnoticedDoesNotKeepATaskOfARestartedWorkerAway() {
        List<Event> schedule =
                List.of(
                        new Event(946, Kind.SUBMIT_LASTING, 17, 0),
                        new Event(1_464, Kind.SUBMIT_LASTING, 18, 0),
                        new Event(15_860, Kind.DOWN, 4, 2_320),
                        new Event(16_058, Kind.GONE_SILENTLY, 5, 0));
        assertEquals(List.of(), RandomFaults.runLoss(1_473, schedule));
    }

    /** Guards against the same where the task is away for less than the 3 s until it goes first. */
    @ParameterizedTest
    @ValueSource(longs = {-300, -200, -100, 0, 100, 200, 300})
    void aTaskThatIsAwayForAMomentIsNotOrderedOnAWorkerThatWasLostUnnoticed(long laterMillis) {
        List<Event> schedule =
                new ArrayList<>(
                        List.of(
                                new Event(946, Kind.SUBMIT_LASTING, 17, 0),
                                new Event(1_464, Kind.SUBMIT_LASTING, 18, 0),
                                new Event(15_860, Kind.DOWN, 4, 1_900),
                                new Event(15_860 + laterMillis, Kind.GONE_SILENTLY, 5, 0)));
        schedule.sort(Comparator.comparingLong(Event::atMillis));
        assertEquals(List.of(), RandomFaults.runLoss(1_473, schedule));
    }
}
