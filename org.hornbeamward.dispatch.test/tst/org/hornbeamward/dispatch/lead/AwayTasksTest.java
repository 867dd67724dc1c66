package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamward.dispatch.account.AccountDirectory;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What logs and metrics tell of tasks that last and are away. */
class AwayTasksTest {
    private final LeaderFixture mFixture = new LeaderFixture();
    private final CapturedLog mLog = new CapturedLog();

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private FakeWorker worker(String name) {
        return mFixture.mWorkers.get(name);
    }

    private FakeWorker otherWorker(FakeWorker worker) {
        return worker == worker("w1") ? worker("w2") : worker("w1");
    }

    /** Starts one task of a job on one worker and returns the worker. */
    private FakeWorker startJob(StepSpec step) {
        worker("w1").taskMillis = 600_000;
        worker("w2").taskMillis = 600_000;
        mFixture.submit("job", step);
        mFixture.mLoop.advance(3_000);
        assertEquals(1, mFixture.startedCount());
        return worker("w1").running().isEmpty() ? worker("w2") : worker("w1");
    }

    private MetricSnapshot metric(String name) {
        return mFixture.mMetrics.registry().scrape().stream()
                .filter(snapshot -> snapshot.getMetadata().getName().equals(name))
                .findAny()
                .orElseThrow();
    }

    private int tasksAway() {
        GaugeSnapshot gauge = (GaugeSnapshot) metric("hornbeamward_tasks_away");
        return (int) gauge.getDataPoints().get(0).getValue();
    }

    /** Returns how many returns were counted by what their time away begins with. */
    private long returnCount(String since) {
        HistogramSnapshot histogram = (HistogramSnapshot) metric("hornbeamward_away_seconds");
        return histogram.getDataPoints().stream()
                .filter(point -> since.equals(point.getLabels().get("since")))
                .mapToLong(HistogramSnapshot.HistogramDataPointSnapshot::getCount)
                .sum();
    }

    private String lastLine(LogEvent event) {
        List<String> lines = mLog.lines(event);
        assertFalse(lines.isEmpty(), "no line of " + event);
        return lines.get(lines.size() - 1);
    }

    private static void assertContains(String part, String line) {
        assertTrue(line.contains(part), "no '" + part + "' in: " + line);
    }

    private static long number(String pattern, String line) {
        Matcher matcher = Pattern.compile(pattern).matcher(line);
        assertTrue(matcher.find(), "no '" + pattern + "' in: " + line);
        return Long.parseLong(matcher.group(1));
    }

    /** Ends a leader and starts another one that knows since when the first one was silent. */
    private Dispatcher replace(Dispatcher leader, long epoch) {
        leader.close();
        int progressOffset = mFixture.mStore.records(Topic.PROGRESS).size();
        long sinceMillis = mFixture.mLoop.nowMillis();
        mFixture.mLoop.advance(300);
        return mFixture.startDispatcher(
                epoch, new FormerLeader.Silent(progressOffset, sinceMillis));
    }

    /** The first hypothesis of issue 43: the leases last too long, and the start is quick. */
    @Test
    void aTaskOfAWorkerThatIsGoneIsReportedWithTheWaitForItsLeases() {
        mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        gone.refusesConnections = true;
        mFixture.mLoop.advance(5_000);
        String away = lastLine(LogEvent.TASKS_AWAY);
        assertContains("1 long-running tasks", away);
        assertContains("its run was present on worker " + gone.entry().id(), away);
        assertContains("(granted by this leader)", away);
        assertTrue(number("leases lapse in (\\d+) ms", away) <= 4_000, away);
        assertEquals(1, tasksAway());
        mFixture.mLoop.advance(5_000);
        assertEquals(2, mFixture.startedCount());
        assertEquals(1, mLog.lines(LogEvent.TASK_RETURNED).size());
        String returned = lastLine(LogEvent.TASK_RETURNED);
        long totalMillis = number("time away of (\\d+) ms", returned);
        long givenUpMillis = number("(\\d+) ms until", returned);
        long waitedMillis = number("(\\d+) ms waiting", returned);
        long startMillis = number("and (\\d+) ms in the start", returned);
        assertContains("0 ms in 0 starts that did not succeed, the last one: none", returned);
        assertTrue(givenUpMillis > 5_000, returned);
        assertTrue(waitedMillis + startMillis < 500, returned);
        assertEquals(totalMillis, givenUpMillis + waitedMillis + startMillis);
        assertEquals(1, returnCount("last_seen"));
        assertEquals(0, returnCount("takeover"));
        assertEquals(0, tasksAway());
    }

    /** The second hypothesis: a start that failed is told apart from the other stages. */
    @Test
    void startsThatFailAreCountedWithTheReasonAndTheTaskStaysUrgent() {
        mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        FakeWorker failing = otherWorker(gone);
        gone.refusesConnections = true;
        failing.startDelayMillis = 60_000;
        mFixture.mLoop.advance(8_000);
        String away = lastLine(LogEvent.TASKS_AWAY);
        assertFalse(away.contains("kept behind other work"), away);
        assertContains("starts that failed: 1, the last one: the worker does not list it", away);
        failing.startDelayMillis = 0;
        mFixture.mLoop.advance(3_000);
        assertEquals(2, mFixture.startedCount());
        String returned = lastLine(LogEvent.TASK_RETURNED);
        assertContains("in 3 starts that did not succeed, the last one: the worker", returned);
        long totalMillis = number("time away of (\\d+) ms", returned);
        long givenUpMillis = number("(\\d+) ms until", returned);
        long waitedMillis = number("(\\d+) ms waiting", returned);
        long failedMillis = number("(\\d+) ms in 3 starts", returned);
        long startMillis = number("and (\\d+) ms in the start", returned);
        assertTrue(waitedMillis < 1_000, returned);
        assertTrue(failedMillis > 2_700, returned);
        assertEquals(totalMillis, givenUpMillis + waitedMillis + failedMillis + startMillis);
    }

    @Test
    void aRefusedStartIsReportedWithItsReasonAndTheTaskStaysUrgent() {
        mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        FakeWorker refusing = otherWorker(gone);
        gone.refusesConnections = true;
        refusing.refusesStarts = true;
        mFixture.mLoop.advance(7_000);
        String away = lastLine(LogEvent.TASKS_AWAY);
        assertContains("waits for a worker; room on 0 of 0 usable workers", away);
        assertContains("starts that failed: 1, the last one: not started", away);
        refusing.refusesStarts = false;
        mFixture.mLoop.advance(1_000);
        assertEquals(2, mFixture.startedCount());
        String returned = lastLine(LogEvent.TASK_RETURNED);
        assertContains("in 2 starts that did not succeed, the last one: not started", returned);
        long totalMillis = number("time away of (\\d+) ms", returned);
        long givenUpMillis = number("(\\d+) ms until", returned);
        long waitedMillis = number("(\\d+) ms waiting", returned);
        long failedMillis = number("(\\d+) ms in 2 starts", returned);
        long startMillis = number("and (\\d+) ms in the start", returned);
        // A worker that refused a start gets no tasks for a second.
        assertTrue(waitedMillis > 1_900 && waitedMillis < 2_400, returned);
        assertEquals(totalMillis, givenUpMillis + waitedMillis + failedMillis + startMillis);
    }

    /** A worker that nothing shows to be up is asked before a lost task starts there. */
    @Test
    void aTaskThatWaitsForTheAnswerOfAWorkerIsReportedAsSuch() {
        mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        gone.refusesConnections = true;
        otherWorker(gone).unreachable = true;
        mFixture.mLoop.advance(7_000);
        assertEquals(1, mFixture.startedCount());
        assertContains("waits for the answer of a worker", lastLine(LogEvent.TASKS_AWAY));
    }

    /** Room that is not used is told apart from room that is missing. */
    @Test
    void aTaskThatWaitsAlthoughThereIsRoomIsNamedBesideTheOneAwayLongest() {
        worker("w1").taskMillis = 600_000;
        worker("w2").taskMillis = 600_000;
        mFixture.startDispatcher(1);
        mFixture.submit("large", LeaderFixture.longRunning(1, 3_000));
        mFixture.mLoop.advance(2_000);
        FakeWorker gone = worker("w1").running().isEmpty() ? worker("w2") : worker("w1");
        mFixture.submit("small", LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(2_000);
        assertEquals(2, gone.running().size());
        mFixture.submit("short", LeaderFixture.step(1, 2_500));
        mFixture.mLoop.advance(1_000);
        assertEquals(1, otherWorker(gone).running().size());
        gone.refusesConnections = true;
        mFixture.mLoop.advance(5_000);
        // No placement is committed from now on.
        mFixture.mStore.down = true;
        mFixture.mLoop.advance(4_800);
        String away = lastLine(LogEvent.TASKS_AWAY);
        assertContains("2 long-running tasks", away);
        assertContains("large.0.0.0 longest", away);
        assertContains("waits for a worker; room on 0 of 1 usable workers", away);
        assertContains(
                "of 2 compared tasks without a run, 1 have a worker with the room, the first one"
                        + " being small.0.0.0 (waits although there is room on 1 of 1",
                away);
    }

    /** The fourth hypothesis: a new leader has no route for the job. */
    @Test
    void aTaskWhoseQueueIsNotConfiguredIsReportedAsSuch() {
        Dispatcher leader = mFixture.startDispatcher(1);
        startJob(LeaderFixture.longRunning(1, 1_000)).refusesConnections = true;
        mFixture.mLoop.advance(1_000);
        Dispatcher successor = replace(leader, 2);
        successor.configure(
                ClusterConfig.of(2, List.of(), List.of(), AccountDirectory.NONE, 1_000));
        mFixture.mLoop.advance(12_000);
        assertContains("its queue queue is not configured", lastLine(LogEvent.TASKS_AWAY));
    }

    @Test
    void aStartWithoutAnAnswerIsReportedAndThenAsNotResolved() {
        mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        FakeWorker mute = otherWorker(gone);
        gone.refusesConnections = true;
        mute.startDelayMillis = 60_000;
        mFixture.mLoop.advance(7_000);
        assertContains(
                "its start order is not answered on worker " + mute.entry().id() + " for ",
                lastLine(LogEvent.TASKS_AWAY));
        mute.unreachable = true;
        mFixture.mLoop.advance(3_000);
        String away = lastLine(LogEvent.TASKS_AWAY);
        assertContains("its start is not resolved on worker " + mute.entry().id(), away);
        assertContains("is silent and whose leases lapse in", away);
    }

    @Test
    void aTaskWhoseClientAccountIsAtItsLimitIsReportedAsSuch() {
        setLimit(5_000);
        Dispatcher leader = mFixture.startDispatcher(1);
        worker("w1").taskMillis = 600_000;
        worker("w2").taskMillis = 600_000;
        mFixture.submitFor("limited", "job", LeaderFixture.longRunning(2, 2_500));
        mFixture.mLoop.advance(3_000);
        assertEquals(1, worker("w1").running().size());
        assertEquals(1, worker("w2").running().size());
        worker("w1").refusesConnections = true;
        setLimit(500);
        leader.configure(mFixture.config());
        mFixture.mLoop.advance(9_000);
        assertContains("its client account limited is at its limit", lastLine(LogEvent.TASKS_AWAY));
    }

    private void setLimit(long cpuMillicores) {
        Resources limit = new Resources(cpuMillicores, 0, 0);
        mFixture.mAccounts =
                AccountDirectory.of(List.of(new ClientAccount("limited", Set.of(), 100, limit)));
    }

    @Test
    void aNewLeaderSaysThatItDoesNotKnowTheTimeAwayAndWhichBoundItWaitsFor() {
        Dispatcher leader = mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        gone.refusesConnections = true;
        mFixture.mLoop.advance(500);
        replace(leader, 2);
        mFixture.mLoop.advance(5_000);
        String away = lastLine(LogEvent.TASKS_AWAY);
        assertContains("longest, unknown, at least", away);
        assertContains("its run is not confirmed on worker " + gone.entry().id(), away);
        assertContains("(a bound of an earlier leader or incarnation)", away);
        mFixture.mLoop.advance(5_000);
        assertEquals(2, mFixture.startedCount());
        assertContains("time away of unknown, at least", lastLine(LogEvent.TASK_RETURNED));
        assertEquals(1, returnCount("takeover"));
        assertEquals(0, returnCount("last_seen"));
    }

    @Test
    void aTaskThatAFormerLeaderLeftWithoutARunIsReported() {
        Dispatcher leader = mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        mFixture.submit("short", LeaderFixture.step(1, 4_000));
        mFixture.mLoop.advance(1_000);
        gone.refusesConnections = true;
        mFixture.mLoop.advance(9_000);
        replace(leader, 2);
        mFixture.mLoop.advance(5_000);
        String away = lastLine(LogEvent.TASKS_AWAY);
        assertContains("longest, unknown, at least", away);
        assertContains("waits for a worker; room on 0 of 1 usable workers", away);
    }

    @Test
    void aChangeOfLeadersAloneCountsNoTaskAsAway() {
        Dispatcher leader = mFixture.startDispatcher(1);
        startJob(LeaderFixture.longRunning(1, 1_000));
        replace(leader, 2);
        mFixture.mLoop.advance(6_000);
        assertEquals(List.of(), mLog.lines(LogEvent.TASKS_AWAY));
        assertEquals(List.of(), mLog.lines(LogEvent.TASK_RETURNED));
        assertEquals(0, returnCount("takeover") + returnCount("last_seen"));
        assertEquals(1, mFixture.startedCount());
    }

    @Test
    void shortTasksAndTasksThatHaveNeverBeenRunningAreNotReported() {
        mFixture.startDispatcher(1);
        worker("w1").taskMillis = 600_000;
        worker("w2").taskMillis = 600_000;
        mFixture.submit("short", LeaderFixture.step(2, 4_000));
        mFixture.mLoop.advance(1_000);
        mFixture.submit("new", LeaderFixture.longRunning(1, 1_000));
        worker("w1").refusesConnections = true;
        mFixture.mLoop.advance(15_000);
        assertEquals(List.of(), mLog.lines(LogEvent.TASKS_AWAY));
        assertEquals(0, tasksAway());
    }

    @Test
    void aCancelledTaskIsNoLongerReported() {
        mFixture.startDispatcher(1);
        FakeWorker gone = startJob(LeaderFixture.longRunning(1, 1_000));
        gone.refusesConnections = true;
        mFixture.mLoop.advance(5_000);
        assertEquals(1, tasksAway());
        mFixture.cancel(new JobId("job"));
        mFixture.mLoop.advance(2_000);
        int lineCount = mLog.lines(LogEvent.TASKS_AWAY).size();
        assertEquals(0, tasksAway());
        mFixture.mLoop.advance(5_000);
        assertEquals(lineCount, mLog.lines(LogEvent.TASKS_AWAY).size());
    }

    @Test
    void aLeaderThatIsDeposedReportsNoTaskAsAway() {
        Dispatcher leader = mFixture.startDispatcher(1);
        startJob(LeaderFixture.longRunning(1, 1_000)).refusesConnections = true;
        mFixture.mLoop.advance(5_000);
        assertEquals(1, tasksAway());
        leader.close();
        assertEquals(0, tasksAway());
    }

    /** Guards against log output that grows with the number of tasks. */
    @Test
    void atMostTenReturnsAndOneReportAreLoggedASecondAndTheRestIsCounted() {
        mFixture.startDispatcher(1);
        worker("w1").taskMillis = 600_000;
        worker("w2").taskMillis = 600_000;
        mFixture.submit("job", LeaderFixture.longRunning(24, 100));
        mFixture.mLoop.advance(3_000);
        assertEquals(24, mFixture.runningCount());
        FakeWorker gone = worker("w1").running().size() >= 12 ? worker("w1") : worker("w2");
        int lostCount = gone.running().size();
        gone.refusesConnections = true;
        mFixture.mLoop.advance(15_000);
        assertEquals(24 + lostCount, mFixture.startedCount());
        assertEquals(lostCount, returnCount("last_seen"));
        int lineCount = mLog.lines(LogEvent.TASK_RETURNED).size();
        assertEquals(AwayTasks.MAX_RETURN_LINES_PER_SECOND, lineCount);
        assertEquals(1, mLog.lines(LogEvent.RETURNS_OMITTED).size());
        String omitted = lastLine(LogEvent.RETURNS_OMITTED);
        assertEquals(lostCount - lineCount, number("HW535 (\\d+) more", omitted));
        int reportCount = mLog.lines(LogEvent.TASKS_AWAY).size();
        assertTrue(reportCount >= 2 && reportCount <= 8, reportCount + " reports");
    }
}
