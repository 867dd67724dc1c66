package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorkers;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.lib.JobId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a job that counts as late as soon as its tasks have been at work for a while: the
 * whole estimate of a step counted until its last task was done.
 */
class RemainingTimeTest {
    /** Sessions call it only after a call to their worker, and these send none. */
    private static final WorkerSession.Supervisor UNUSED_SUPERVISOR =
            (WorkerSession.Supervisor)
                    Proxy.newProxyInstance(
                            RemainingTimeTest.class.getClassLoader(),
                            new Class<?>[] {WorkerSession.Supervisor.class},
                            (proxy, method, arguments) -> {
                                throw new UnsupportedOperationException(method.getName());
                            });

    private final VirtualLoop mLoop = new VirtualLoop();
    private final FakeWorkers mWorkers = new FakeWorkers(mLoop);
    private final Step mStep;

    RemainingTimeTest() {
        mWorkers.add("w1", 4_000);
        JobSpec spec = new JobSpec("payload", List.of(LeaderFixture.step(2, 1_000)), 0, 0, 0);
        Submission submission = new Submission(new JobId("job"), "queue", mLoop.wallMillis(), spec);
        mStep = new Job(submission, null).steps(0)[0];
    }

    private void start(Task task) {
        WorkerSession session =
                new WorkerSession(mLoop, mWorkers, UNUSED_SUPERVISOR, mWorkers.get("w1").entry());
        task.run = new Run(task, 1, session, "");
    }

    @Test
    void aStepThatIsAtWorkNeedsOnlyTheRestOfItsEstimate() {
        start(mStep.tasks[0]);
        mLoop.advance(200);
        start(mStep.tasks[1]);
        mLoop.advance(100);
        assertEquals(400, mStep.remainingMillis(mLoop.nowMillis()));
        mLoop.advance(1_000);
        assertEquals(0, mStep.remainingMillis(mLoop.nowMillis()));
    }

    @Test
    void aStepWithAWaitingTaskNeedsItsWholeEstimate() {
        start(mStep.tasks[0]);
        mLoop.advance(300);
        assertEquals(500, mStep.remainingMillis(mLoop.nowMillis()));
    }
}
