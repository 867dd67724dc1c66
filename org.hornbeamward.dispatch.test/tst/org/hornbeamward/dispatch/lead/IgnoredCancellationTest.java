package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/** The log of a leader that ignores cancellations. */
class IgnoredCancellationTest {
    private final LeaderFixture mFixture = new LeaderFixture();

    /** Guards against a job that runs on without a trace of its cancellation. */
    @Test
    void aCancellationOfAnotherQueueIsLoggedWithBothQueues() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(500);
        JobId job = mFixture.submit("0123456789abcdef", LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(1_000);
        try (CapturedLog log = new CapturedLog()) {
            mFixture.cancel(job, "other");
            mFixture.mLoop.advance(500);

            assertEquals(1, mFixture.runningCount());
            List<String> lines = log.lines(LogEvent.CANCELLATION_IGNORED);
            assertEquals(1, lines.size());
            assertTrue(lines.get(0).contains("job " + job + " is ignored: it names queue other"));
            assertTrue(lines.get(0).contains("the job has queue queue"));
        }
    }

    /** Load pattern: a caller sends thousands of cancellations of jobs of another queue. */
    @Test
    void manyIgnoredCancellationsGetOneLineASecond() {
        mFixture.startDispatcher(1);
        mFixture.mLoop.advance(500);
        JobId job = mFixture.submit("0123456789abcdef", LeaderFixture.longRunning(1, 1_000));
        mFixture.mLoop.advance(1_000);
        try (CapturedLog log = new CapturedLog()) {
            for (int count = 0; count < 1_000; count++) {
                mFixture.cancel(job, "other");
            }
            mFixture.mLoop.advance(1_500);
            mFixture.cancel(job, "other");
            mFixture.mLoop.advance(500);

            List<String> lines = log.lines(LogEvent.CANCELLATION_IGNORED);
            assertEquals(2, lines.size());
            assertTrue(lines.get(1).endsWith("; 999 more ignored since the last line"));
        }
    }
}
