package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.hornbeamward.dispatch.account.AccountDirectory;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Limits and shares of client accounts over a fake store and two workers of four cores. */
class AccountLimitTest {
    private final LeaderFixture mFixture = new LeaderFixture();

    @BeforeEach
    void setAccounts() {
        worker("w1").taskMillis = 60_000;
        worker("w2").taskMillis = 60_000;
        setLimit(3_000);
    }

    private void setLimit(long cpuMillicores) {
        Resources limit = new Resources(cpuMillicores, 0, 0);
        mFixture.mAccounts =
                AccountDirectory.of(
                        List.of(
                                new ClientAccount("limited", Set.of(), 100, limit),
                                new ClientAccount("hot", Set.of(), 1, Resources.NONE),
                                new ClientAccount("usual", Set.of(), 1, Resources.NONE)));
    }

    private FakeWorker worker(String name) {
        return mFixture.mWorkers.get(name);
    }

    private static StepSpec step(int taskCount) {
        return LeaderFixture.step(taskCount, 1_000);
    }

    /** Guards against an account that runs more than its limit, in one job or in several. */
    @Test
    void anAccountRunsNoMoreThanItsLimit() {
        mFixture.startDispatcher(1);
        mFixture.submitFor("limited", "job1", step(2));
        mFixture.submitFor("limited", "job2", step(2));
        mFixture.submitFor("usual", "job3", step(3));
        mFixture.mLoop.advance(1_000);

        assertEquals(3 + 3, mFixture.runningCount());
    }

    /** Guards against tasks that never start after they have waited for the limit. */
    @Test
    void waitingTasksStartWhenOthersOfTheAccountHaveEnded() {
        worker("w1").taskMillis = 500;
        worker("w2").taskMillis = 500;
        mFixture.startDispatcher(1);
        JobId job = mFixture.submitFor("limited", "job", step(7));
        mFixture.mLoop.advance(3_000);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(job));
    }

    /** Guards against a new leader that counts an account's tasks from zero. */
    @Test
    void aNewLeaderKnowsWhatAnAccountRunsBeforeItsFirstStart() {
        Dispatcher first = mFixture.startDispatcher(1);
        mFixture.submitFor("limited", "job", step(5));
        mFixture.mLoop.advance(500);
        assertEquals(3, mFixture.runningCount());
        first.close();

        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(2_000);

        assertEquals(3, mFixture.runningCount());
    }

    /** Guards against tasks on a silent worker that count as gone while they may be running. */
    @Test
    void tasksOnASilentWorkerCountUntilTheyAreCertainlyGone() {
        mFixture.startDispatcher(1);
        mFixture.submitFor("limited", "job", LeaderFixture.step(4, 1_500));
        mFixture.mLoop.advance(500);
        assertEquals(2, mFixture.runningCount());
        FakeWorker silent = worker("w1").running().isEmpty() ? worker("w2") : worker("w1");
        FakeWorker other = silent == worker("w1") ? worker("w2") : worker("w1");
        int otherCount = other.running().size();
        silent.unreachable = true;
        mFixture.mLoop.advance(4_000);
        assertEquals(otherCount, other.running().size());

        mFixture.mLoop.advance(8_000);

        assertEquals(2, other.running().size());
    }

    /** Guards against a lowered limit that takes effect only at the next change of leaders. */
    @Test
    void aLoweredLimitStartsNothingMoreAndStopsNothing() {
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        mFixture.submitFor("limited", "job1", step(2));
        mFixture.mLoop.advance(500);
        setLimit(1_000);
        dispatcher.configure(mFixture.config());
        mFixture.submitFor("limited", "job2", step(2));
        mFixture.mLoop.advance(2_000);

        assertEquals(2, mFixture.runningCount());
        assertEquals(2, mFixture.startedCount());
    }

    /** Guards against an account that is withdrawn while its limit is still in force for it. */
    @Test
    void jobsOfAWithdrawnAccountKeepItsLastLimit() {
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        mFixture.submitFor("limited", "job", step(5));
        mFixture.mLoop.advance(500);
        mFixture.mAccounts = AccountDirectory.of(List.of());
        dispatcher.configure(mFixture.config());
        mFixture.mLoop.advance(2_000);

        assertEquals(3, mFixture.runningCount());
    }

    /** Guards against a gang of which only some members start, or that exceeds the limit. */
    @Test
    void aGangBeyondTheLimitStartsNoneOfItsTasks() {
        mFixture.startDispatcher(1);
        mFixture.submitFor("limited", "fits", LeaderFixture.gang(2, 1_000));
        mFixture.submitFor("limited", "larger", LeaderFixture.gang(3, 1_000));
        mFixture.mLoop.advance(1_000);

        assertEquals(2, mFixture.runningCount());
    }

    /** Load pattern: an account sends many times its share while the workers are full. */
    @Test
    void jobsBeyondAShareGoBehindThoseOfOtherAccounts() {
        worker("w1").taskMillis = 400;
        worker("w2").taskMillis = 400;
        mFixture.startDispatcher(1);
        mFixture.submit("first", step(8));
        mFixture.mLoop.advance(200);
        for (int number = 0; number < 6; number++) {
            mFixture.submitFor("hot", "hot" + number, step(4));
        }
        mFixture.mLoop.advance(100);
        JobId usual = mFixture.submitFor("usual", "usual", step(4));
        mFixture.mLoop.advance(1_250);

        assertEquals(JobPhase.COMPLETED, mFixture.mPhases.get(usual));
        mFixture.mLoop.advance(6_000);
        assertTrue(
                mFixture.mPhases.values().stream().allMatch(phase -> phase == JobPhase.COMPLETED));
    }

    /** Guards against jobs beyond a share that wait although there is room for all. */
    @Test
    void jobsBeyondAShareStartAtOnceWhenThereIsRoom() {
        mFixture.startDispatcher(1);
        for (int number = 0; number < 6; number++) {
            mFixture.submitFor("hot", "hot" + number, step(1));
        }
        mFixture.mLoop.advance(500);

        assertEquals(6, mFixture.runningCount());
    }

    /** Guards against entries that refuse jobs beyond a share after the load has gone. */
    @Test
    void theLeaderReportsHowLongJobsBeyondAShareWait() {
        Dispatcher dispatcher = mFixture.startDispatcher(1);
        mFixture.submit("first", step(8));
        mFixture.mLoop.advance(300);
        assertEquals(0, dispatcher.beyondShareWaitMillis());
        for (int number = 0; number < 4; number++) {
            mFixture.submitFor("hot", "hot" + number, step(1));
        }
        mFixture.mLoop.advance(700);
        assertTrue(dispatcher.beyondShareWaitMillis() > 500);
        assertFalse(dispatcher.describe().stream().noneMatch(line -> line.contains("account hot")));

        mFixture.cancel(new JobId("first"));
        mFixture.mLoop.advance(1_000);

        assertEquals(0, dispatcher.beyondShareWaitMillis());
    }
}
