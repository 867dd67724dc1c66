package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/** What the leader reports of runs that are not stopped. */
class StopMonitorTest {
    private static final long TASK_MILLIS = 60_000;

    private final LeaderFixture mFixture = new LeaderFixture();

    private FakeWorker startTaskAndCancel(Runnable beforeCancellation) {
        FakeWorker first = mFixture.mWorkers.get("w1");
        FakeWorker second = mFixture.mWorkers.get("w2");
        first.taskMillis = TASK_MILLIS;
        second.taskMillis = TASK_MILLIS;
        mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(2_000);
        beforeCancellation.run();
        mFixture.cancel(job);
        return first.running().isEmpty() ? second : first;
    }

    private void forEachWorker(Consumer<FakeWorker> change) {
        change.accept(mFixture.mWorkers.get("w1"));
        change.accept(mFixture.mWorkers.get("w2"));
    }

    /** An operator has to see which run is not stopped, and what became of the orders. */
    @Test
    void aRunWhoseStopOrdersGetNoAnswerIsReportedWithTheLastOutcome() {
        startTaskAndCancel(() -> forEachWorker(worker -> worker.unreachable = true));
        List<String> lines;
        try (CapturedLog log = new CapturedLog()) {
            mFixture.mLoop.advance(4_000);
            lines = log.lines(LogEvent.STOPS_OVERDUE);
        }

        assertTrue(lines.size() >= 2 && lines.size() <= 4, lines.size() + " lines");
        String last = lines.get(lines.size() - 1);
        assertTrue(last.contains("1 runs are still there"), last);
        assertTrue(last.contains("run job.0.0.0 attempt 1 on w"), last);
        assertTrue(last.contains("unreachable"), last);
    }

    /** Tells a worker that does not carry out a stop from one that is not reached. */
    @Test
    void aRunThatIsListedAfterItsStopWasConfirmedIsReported() {
        startTaskAndCancel(() -> forEachWorker(worker -> worker.ignoredStopCount = 1));
        List<String> lines;
        try (CapturedLog log = new CapturedLog()) {
            mFixture.mLoop.advance(4_000);
            lines = log.lines(LogEvent.STOP_WITHOUT_EFFECT);
        }

        assertTrue(lines.size() >= 1, "no line");
        assertTrue(lines.get(0).contains("run job.0.0.0 attempt 1 on w"), lines.get(0));
    }

    /** A report of stops that are under way would hide those that are not. */
    @Test
    void aRunThatStopsInTimeIsNotReported() {
        FakeWorker worker = startTaskAndCancel(() -> forEachWorker(each -> each.stopMillis = 180));
        List<String> lines;
        try (CapturedLog log = new CapturedLog()) {
            mFixture.mLoop.advance(4_000);
            lines = log.lines(LogEvent.STOPS_OVERDUE);
            lines = lines.isEmpty() ? log.lines(LogEvent.STOP_WITHOUT_EFFECT) : lines;
        }

        assertEquals(List.of(), lines);
        assertTrue(worker.running().isEmpty());
    }
}
