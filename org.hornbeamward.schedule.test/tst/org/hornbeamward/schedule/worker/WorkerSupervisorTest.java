package org.hornbeamward.schedule.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RemoveAbsentMember;
import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.standin.worker.WorkerEvent;
import org.hornbeamward.state.TaskResult;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.transport.message.Heartbeat;
import org.hornbeamward.transport.message.StartTask;
import org.junit.jupiter.api.Test;

final class WorkerSupervisorTest {
    private static final TaskId TASK = TaskId.parse("j/0").get();

    private final FakeCluster mCluster = new FakeCluster(3, 2);
    private final FakeWorker mWorker = mCluster.mWorkers.get(0);

    private FakeInstance supervisor() {
        return mCluster.supervisorOf(mWorker);
    }

    private FakeLink link() {
        return mCluster.link(supervisor(), mWorker);
    }

    private void place(FakeWorker worker) {
        long incarnation = worker.mAgent.incarnation();
        mCluster.mInstances.get(0).append(new PlaceTask(TASK, worker.id(), incarnation));
    }

    private void startOn(FakeWorker worker, JobKind kind) {
        mCluster.run(3_000);
        mCluster.submit("j", kind, 1, 600_000);
        mCluster.run(200);
        place(worker);
    }

    private long token() {
        return ((TaskState.Placed) mCluster.stateOf("j/0")).token();
    }

    private long countOf(FakeWorker worker, WorkerEvent.Kind kind) {
        return worker.mEvents.all().stream().filter(e -> e.kind() == kind).count();
    }

    private List<EndTask> ends() {
        return mCluster.mCommands.stream()
                .filter(EndTask.class::isInstance)
                .map(EndTask.class::cast)
                .toList();
    }

    private void stop(StopReason reason) {
        mCluster.mInstances.get(0).append(new StopTask(TASK, token(), reason));
    }

    /**
     * Guards against workers that are discovered but never registered, and placed tasks that are
     * never started.
     */
    @Test
    void workersAreRegisteredAndPlacedTasksStartOnce() {
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(5_000);
        assertEquals(2, mCluster.mState.work().workers().size());
        assertEquals(1, countOf(mWorker, WorkerEvent.Kind.STARTED));
        assertEquals(List.of(token()), mWorker.mAgent.runningTokens());
    }

    /** Guards against a placement that never starts because its start message was lost. */
    @Test
    void lostStartIsSentAgain() {
        mCluster.run(3_000);
        link().mDisconnected = true;
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(1_000);
        link().mDisconnected = false;
        mCluster.run(5_000);
        assertEquals(1, countOf(mWorker, WorkerEvent.Kind.STARTED));
    }

    /** Guards against a running task that is declared lost because its reports were lost. */
    @Test
    void runningTaskIsFoundAgainWhenItsReportWasLost() {
        mWorker.mLosesReports = true;
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(30_000);
        assertEquals(1, countOf(mWorker, WorkerEvent.Kind.STARTED));
        assertEquals(List.of(), ends());
        assertEquals(List.of(token()), mWorker.mAgent.runningTokens());
    }

    /** Guards against a worker that discards the end of a task before it is in the log. */
    @Test
    void endIsAcknowledgedOnlyAfterItIsInTheLog() {
        mWorker.mAgent.setFailStarts(true);
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(100);
        mCluster.mInstances.forEach(i -> i.mAppends = false);
        mCluster.run(25_000);
        assertEquals(TaskOutcome.START_FAILED, ends().getFirst().outcome());
        assertEquals(0, acknowledgedCount());
        mCluster.mInstances.forEach(i -> i.mAppends = true);
        mCluster.run(10_000);
        assertInstanceOf(TaskState.Pending.class, mCluster.stateOf("j/0"));
        assertEquals(1, acknowledgedCount());
    }

    private long acknowledgedCount() {
        return mCluster.mSent.stream()
                .filter(Heartbeat.class::isInstance)
                .mapToLong(message -> ((Heartbeat) message).acknowledgedTokens().size())
                .sum();
    }

    /** Guards against resources that are freed twice when an ended task is reported repeatedly. */
    @Test
    void endReportedTwiceIsAppendedOnce() {
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(3_000);
        stop(StopReason.PREEMPTED);
        mCluster.run(9_000);
        assertEquals(1, ends().size());
        assertTrue(ends().getFirst().checkpoint() > 0);
        assertInstanceOf(TaskState.Pending.class, mCluster.stateOf("j/0"));
    }

    /**
     * Guards against a start message that arrives after the cancellation and leaves the task
     * running forever.
     */
    @Test
    void taskCancelledWhileStartingEndsAndNeverRunsAfterwards() {
        mCluster.run(3_000);
        startOn(mWorker, JobKind.SERVICE);
        link().mStalled = true;
        mCluster.run(1_000);
        mCluster.mInstances.get(0).append(new CancelJob("cancel", new JobId("j")));
        mCluster.run(1_000);
        link().mStalled = false;
        mCluster.run(5_000);
        assertEquals(new TaskState.Ended(TaskResult.CANCELLED), mCluster.stateOf("j/0"));
        assertEquals(List.of(), mWorker.mAgent.runningTokens());
    }

    /** Guards against starts in a failure domain that was taken out. */
    @Test
    void nothingStartsAfterTheFailureDomainWasTakenOut() {
        mCluster.run(3_000);
        link().mDisconnected = true;
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(500);
        mCluster.mInstances
                .get(0)
                .append(
                        new TakeOutDomain(
                                "out", mWorker.mIdentity.failureDomain(), 0, 5_000, false));
        mCluster.run(500);
        link().mDisconnected = false;
        mCluster.run(5_000);
        assertEquals(0, countOf(mWorker, WorkerEvent.Kind.STARTED));
    }

    /** Guards against starts with a ticket that was received after the last log read began. */
    @Test
    void nothingStartsWhileTheLogCannotBeRead() {
        mCluster.run(3_000);
        mCluster.submit("j", JobKind.BATCH, 1, 600_000);
        link().mStalled = true;
        mCluster.run(2_500);
        place(mWorker);
        mCluster.run(100);
        mCluster.mInstances.forEach(i -> i.mReceivesPromises = true);
        mCluster.mInstances.forEach(i -> i.mReadsLog = false);
        link().mStalled = false;
        mCluster.run(8_000);
        assertTrue(mCluster.mSent.stream().noneMatch(StartTask.class::isInstance));
        mCluster.mInstances.forEach(i -> i.mReadsLog = true);
        mCluster.run(3_000);
        assertEquals(1, countOf(mWorker, WorkerEvent.Kind.STARTED));
    }

    /** Guards against a restarted worker whose tasks are neither stopped nor placed again. */
    @Test
    void newIncarnationMakesTasksPending() {
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(3_000);
        mWorker.restart(mCluster.mNowNanos);
        mCluster.run(3_000);
        assertInstanceOf(TaskState.Pending.class, mCluster.stateOf("j/0"));
        place(mWorker);
        mCluster.run(3_000);
        assertEquals(List.of(token()), mWorker.mAgent.runningTokens());
        RunHistory.check(mCluster.mWorkers);
    }

    /**
     * Guards against tasks that stay placed on a dead worker, and against declaring a worker lost
     * before its lease has lapsed.
     */
    @Test
    void silentWorkerIsLostAfterItsLease() {
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(30_000);
        mWorker.mPaused = true;
        mCluster.run(14_000);
        assertInstanceOf(TaskState.Placed.class, mCluster.stateOf("j/0"));
        mCluster.run(15_000);
        assertInstanceOf(TaskState.Pending.class, mCluster.stateOf("j/0"));
        place(mCluster.mWorkers.get(1));
        mCluster.run(3_000);
        mWorker.mPaused = false;
        mCluster.run(5_000);
        assertEquals(List.of(), mWorker.mAgent.runningTokens());
        assertEquals(1, mCluster.mWorkers.get(1).mAgent.runningTokens().size());
        RunHistory.check(mCluster.mWorkers);
    }

    /** Guards against a second run, or a stop, of a task whose supervisor was removed. */
    @Test
    void newSupervisorTakesOverRunningTasks() {
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(3_000);
        FakeInstance old = supervisor();
        old.mPaused = true;
        FakeInstance other =
                mCluster.mInstances.stream().filter(i -> i != old).findFirst().orElseThrow();
        other.append(new RemoveAbsentMember(old.mId, old.mIncarnation, 1));
        mCluster.run(40_000);
        old.mPaused = false;
        mCluster.run(3_000);
        assertEquals(1, countOf(mWorker, WorkerEvent.Kind.STARTED));
        assertEquals(List.of(token()), mWorker.mAgent.runningTokens());
    }

    /**
     * Guards against a worker declared lost while a former supervisor, which cannot read the log
     * but receives promises from other members, still renews its lease.
     */
    @Test
    void workerIsNotLostWhileAFormerSupervisorMayRenewItsLease() {
        startOn(mWorker, JobKind.BATCH);
        mCluster.run(3_000);
        FakeInstance old = supervisor();
        mCluster.mInstances.forEach(i -> mCluster.link(i, mWorker).mDisconnected = i != old);
        old.mReceivesPromises = true;
        old.mReadsLog = false;
        for (int index = 3; index < 40 && supervisorInLog(mWorker.id()) == old; index++) {
            FakeInstance joining = new FakeInstance("i" + index, index, "d" + index % 3);
            mCluster.mInstances.add(joining);
            mCluster.link(joining, mWorker).mDisconnected = true;
            mCluster.run(200);
        }
        FakeInstance next = supervisorInLog(mWorker.id());
        assertFalse(next == old);
        mCluster.run(60_000);
        assertTrue(mCluster.mCommands.stream().noneMatch(RemoveLostWorker.class::isInstance));
        assertEquals(List.of(token()), mWorker.mAgent.runningTokens());
    }

    private FakeInstance supervisorInLog(WorkerId worker) {
        return mCluster.mInstances.stream()
                .filter(i -> i.mReadsLog)
                .filter(i -> i.mSupervisor.wantedLinks().containsKey(worker))
                .findFirst()
                .orElseGet(this::supervisor);
    }
}
