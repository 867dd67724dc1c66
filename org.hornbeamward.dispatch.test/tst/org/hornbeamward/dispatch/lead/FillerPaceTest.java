package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.Test;

/** Paces of fillers beside serving tasks that miss their targets, and end. */
class FillerPaceTest {
    private static final long TARGET_MILLIS = 24;

    private final LeaderFixture mFixture = new LeaderFixture();
    private final List<FakeWorker> mWorkers =
            List.of(mFixture.mWorkers.get("w1"), mFixture.mWorkers.get("w2"));

    private static StepSpec step(int taskCount, int maxPerWorker, boolean filler) {
        return new StepSpec(
                taskCount,
                new Resources(2_000, 100, 0),
                60_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                maxPerWorker,
                false,
                !filler,
                filler ? "filler" : "serving",
                filler ? 0 : TARGET_MILLIS,
                filler,
                0);
    }

    /** Starts a serving task on each worker and a filler, which is stopped for the former. */
    private JobId startAndMissTargets() {
        for (FakeWorker worker : mWorkers) {
            worker.taskMillis = 600_000;
        }
        JobId serving = mFixture.submit("serving", step(2, 1, false));
        mFixture.mLoop.advance(3_000);
        mFixture.submit("filler", step(1, 0, true));
        mFixture.mLoop.advance(6_000);
        assertEquals(3, mFixture.runningCount());
        mWorkers.forEach(worker -> worker.load = 10 * TARGET_MILLIS);
        mFixture.mLoop.advance(5_000);
        assertEquals(List.of(0), new java.util.ArrayList<>(paces()));
        return serving;
    }

    private Collection<Integer> paces() {
        Collection<Integer> paces = new HashSet<>();
        mWorkers.forEach(worker -> paces.addAll(worker.paces.values()));
        return paces;
    }

    /**
     * Guards against a filler that does nothing any more because the tasks beside it have ended.
     */
    @Test
    void aFillerResumesWhenTheServingTasksBesideItEnd() {
        mFixture.startDispatcher(1);
        JobId serving = startAndMissTargets();
        mFixture.cancel(serving);
        mFixture.mLoop.advance(5_000);

        assertEquals(1, mFixture.runningCount());
        assertEquals(List.of(100), List.copyOf(paces()));
    }

    /** Guards against a new leader that takes a stopped filler for one at full speed. */
    @Test
    void aNewLeaderSetsThePaceOfFillersThatItTakesOver() {
        Dispatcher first = mFixture.startDispatcher(1);
        startAndMissTargets();
        first.close();
        mWorkers.forEach(worker -> worker.load = 1);
        mFixture.startDispatcher(2);
        mFixture.mLoop.advance(5_000);

        assertEquals(3, mFixture.runningCount());
        assertEquals(List.of(100), List.copyOf(paces()));
    }

    /** Guards against a pace that took effect although the order got no answer. */
    @Test
    void aPaceWhoseAnswerIsLostIsSetAgain() {
        mFixture.startDispatcher(1);
        mWorkers.forEach(worker -> worker.losesPaceAnswers = true);
        startAndMissTargets();
        mWorkers.forEach(worker -> worker.load = 1);
        mFixture.mLoop.advance(2_000);
        mWorkers.forEach(worker -> worker.losesPaceAnswers = false);
        mFixture.mLoop.advance(5_000);

        assertEquals(List.of(100), List.copyOf(paces()));
    }
}
