package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Gangs, whose members all have to resume from the same checkpoint. */
class GangTest {
    private final LeaderFixture mFixture = new LeaderFixture();
    private final FakeWorker mFirst = mFixture.mWorkers.get("w1");
    private final FakeWorker mSecond = mFixture.mWorkers.get("w2");

    @BeforeEach
    void setTaskMillis() {
        mFirst.taskMillis = 60_000;
        mSecond.taskMillis = 60_000;
    }

    private List<String> restartCheckpoints() {
        List<String> checkpoints = new ArrayList<>();
        for (FakeWorker worker : List.of(mFirst, mSecond)) {
            checkpoints.addAll(worker.startCheckpoints);
        }
        return checkpoints.subList(2, 4);
    }

    /** Restarts the worker of a member that has not reported the checkpoint of the other one. */
    private void crashMemberAfterCheckpoint() {
        mFixture.submit("job", LeaderFixture.gang(2, 3_000));
        mFixture.mLoop.advance(500);
        assertEquals(2, mFixture.runningCount());
        mFirst.checkpoint = "newest";
        mFixture.mLoop.advance(1_200);
        mSecond.restart();
        mFirst.breakGangs();
        mFirst.startCheckpoints.clear();
        mSecond.startCheckpoints.clear();
        mFirst.startCheckpoints.addAll(List.of("", ""));
    }

    /**
     * Guards against members that are started with different checkpoints, and so never come
     * together, after a member was lost that had not reported the newest one.
     */
    @Test
    void allMembersResumeFromTheNewestCheckpointOfAnyOfThem() {
        mFixture.startDispatcher(1);
        crashMemberAfterCheckpoint();
        mFixture.registerWorker("w2");
        mFixture.mLoop.advance(3_000);
        assertEquals(List.of("newest", "newest"), restartCheckpoints());
    }

    /** Guards against the same when the members are started by a new leader. */
    @Test
    void aNewLeaderStartsAllMembersFromTheSameCheckpoint() {
        Dispatcher first = mFixture.startDispatcher(1);
        crashMemberAfterCheckpoint();
        mFixture.mLoop.advance(60);
        first.close();
        mFixture.registerWorker("w2");
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(3_000);
        assertEquals(List.of("newest", "newest"), restartCheckpoints());
    }

    /** Guards against an older value that a member reports late and that replaces a newer one. */
    @Test
    void anOlderCheckpointDoesNotReplaceANewerOne() {
        Checkpoint checkpoint = new Checkpoint();
        checkpoint.offer("a40", 1, 40);
        checkpoint.offer("a20", 1, 20);
        assertEquals("a40", checkpoint.value());
        checkpoint.offer("b10", 2, 10);
        assertEquals("b10", checkpoint.value());
        checkpoint.offer("a90", 1, 90);
        assertEquals("b10", checkpoint.value());
        checkpoint.offer("", 2, 50);
        assertEquals("b10", checkpoint.value());
    }

    private FakeWorker workerOf(int index) {
        return mFirst.running().stream().anyMatch(task -> task.index() == index) ? mFirst : mSecond;
    }

    /**
     * Guards against a gang whose members fail in turn and that is started far more often than its
     * queue allows, since each member had failures left.
     */
    @Test
    void aGangFailsAfterItsRunsHaveFailedOftenEnoughWhicheverMemberReportsIt() {
        mFirst.taskMillis = 500;
        mSecond.taskMillis = 500;
        mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.gang(2, 3_000));
        for (int round = 0; round < 8; round++) {
            for (int waited = 0; waited < 300 && mFixture.runningCount() < 2; waited++) {
                mFixture.mLoop.advance(10);
            }
            workerOf(round % 2).endKind = EndKind.FAILED;
            workerOf(1 - round % 2).endKind = EndKind.GANG_BROKEN;
            mFixture.mLoop.advance(520);
        }

        assertEquals(JobPhase.FAILED, mFixture.mPhases.get(job));
        assertEquals(3 * 2, mFixture.startedCount());
    }

    /**
     * Guards against a run that counts twice, and a job that fails too early, because two members
     * have failed in it and a new leader took over in between.
     */
    @Test
    void twoMembersThatFailInOneRunCountOnce() {
        mFirst.taskMillis = 500;
        mSecond.taskMillis = 1_500;
        mFirst.endKind = EndKind.FAILED;
        mSecond.endKind = EndKind.FAILED;
        Dispatcher first = mFixture.startDispatcher(1);
        JobId job = mFixture.submit("job", LeaderFixture.gang(2, 3_000));
        mFixture.mLoop.advance(1_000);
        assertEquals(1, mFixture.runningCount());
        first.close();
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(20_000);

        assertEquals(JobPhase.FAILED, mFixture.mPhases.get(job));
        assertEquals(3 * 2, mFixture.startedCount());
    }

    /** Guards against a gang that waits for room and keeps smaller ones behind it waiting. */
    @Test
    void aGangThatDoesNotFitDoesNotKeepASmallerOneWaiting() {
        mFixture.startDispatcher(1);
        mFixture.submit("large", LeaderFixture.gang(3, 3_000));
        mFixture.mLoop.advance(300);
        assertEquals(0, mFixture.runningCount());
        mFixture.submit("small", LeaderFixture.gang(2, 3_000));
        mFixture.mLoop.advance(300);
        assertEquals(2, mFixture.runningCount());
    }
}
