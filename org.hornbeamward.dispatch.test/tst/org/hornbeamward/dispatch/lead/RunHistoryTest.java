package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The bound for runs of cancelled jobs. Guards against a random test that misses such runs. */
class RunHistoryTest {
    private static final JobId JOB = new JobId("job");
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final long BOUND_MILLIS = RunHistory.CANCEL_MILLIS + RunHistory.STOP_MILLIS;

    private final VirtualLoop mLoop = new VirtualLoop();
    private final RunHistory mHistory = new RunHistory(mLoop, () -> {});

    @BeforeEach
    void submit() {
        mHistory.submitted(JOB, List.of(LeaderFixture.longRunning(1, 1_000)));
    }

    private void start(boolean late) {
        mHistory.started(TASK, 1, "worker#0", late, mLoop.nowMillis());
    }

    private void end() {
        mHistory.ended(TASK, 1, "worker#0", EndKind.STOPPED);
    }

    private void advance(long millis) {
        mLoop.advance(millis);
        mHistory.checkCancelled();
    }

    private void assertBroken(int count) {
        assertEquals(
                count,
                mHistory.mViolations.stream()
                        .filter(v -> v.rule() == RunHistory.Rule.RUN_AFTER_CANCELLATION)
                        .count());
    }

    @Test
    void aRunThatEndsInTimeBreaksNoRule() {
        start(false);
        mHistory.cancelled(JOB);
        advance(BOUND_MILLIS);
        end();
        advance(60_000);
        assertBroken(0);
    }

    @Test
    void aRunThatGoesOnBeyondTheBoundIsReportedOnce() {
        start(false);
        mHistory.cancelled(JOB);
        advance(BOUND_MILLIS);
        assertBroken(0);
        advance(1);
        assertBroken(1);
        advance(60_000);
        assertBroken(1);
    }

    @Test
    void aRunThatEndsBetweenTwoChecksIsReported() {
        start(false);
        mHistory.cancelled(JOB);
        mLoop.advance(BOUND_MILLIS + 1);
        end();
        assertBroken(1);
    }

    @Test
    void aRunOfAJobThatIsNotCancelledBreaksNoRule() {
        start(false);
        advance(60_000);
        assertBroken(0);
    }

    @Test
    void timeWithADisruptionDoesNotCount() {
        start(false);
        mHistory.cancelled(JOB);
        advance(BOUND_MILLIS);
        mHistory.disrupted(2_000);
        advance(2_000 + BOUND_MILLIS);
        assertBroken(0);
        advance(1);
        assertBroken(1);
    }

    @Test
    void aStretchThatADisruptionFollowsCounts() {
        start(false);
        mHistory.cancelled(JOB);
        mLoop.advance(BOUND_MILLIS + 1);
        mHistory.disrupted(2_000);
        assertBroken(1);
    }

    @Test
    void aRunThatWasStartedLateHasToEndSomeTimeAfterItsStart() {
        mHistory.cancelled(JOB);
        advance(BOUND_MILLIS);
        start(true);
        advance(RunHistory.LINGER_MILLIS + BOUND_MILLIS);
        assertBroken(0);
        advance(1);
        assertBroken(1);
    }
}
