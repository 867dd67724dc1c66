package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.util.List;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader whose processor is used up by placement. With 258 workers, decisions that
 * could not have changed since the last pass took most of its time.
 */
class PlacementWorkTest {
    private static final long TARGET_MILLIS = 24;

    private final LeaderFixture mFixture = new LeaderFixture();

    private static StepSpec step(
            int taskCount, long millicores, boolean longRunning, boolean filler) {
        return new StepSpec(
                taskCount,
                new Resources(millicores, 100, 0),
                600,
                List.of(),
                filler,
                false,
                false,
                "",
                "",
                0,
                false,
                longRunning,
                longRunning ? "serving" : filler ? "filler" : "",
                longRunning ? TARGET_MILLIS : 0,
                filler,
                0);
    }

    private MetricSnapshot metric(String name) {
        return mFixture.mMetrics.registry().scrape().stream()
                .filter(snapshot -> snapshot.getMetadata().getName().equals(name))
                .findAny()
                .orElseThrow();
    }

    private long workersLookedAt() {
        CounterSnapshot counter = (CounterSnapshot) metric("hornbeamward_pass_workers");
        return (long) counter.getDataPoints().get(0).getValue();
    }

    private long moveSearchCount() {
        HistogramSnapshot histogram = (HistogramSnapshot) metric("hornbeamward_move_check_seconds");
        return histogram.getDataPoints().get(0).getCount();
    }

    private FakeWorker worker(String name) {
        return mFixture.mWorkers.get(name);
    }

    @Test
    void tasksThatFitOnNoWorkerAreNotComparedWithAllWorkersInEachPass() {
        worker("w1").taskMillis = 600_000;
        worker("w2").taskMillis = 600_000;
        mFixture.startDispatcher(1);
        mFixture.submit("running", step(2, 3_000, false, false));
        mFixture.mLoop.advance(500);
        assertEquals(2, mFixture.runningCount());
        long before = workersLookedAt();
        int jobCount = 20;
        for (int job = 0; job < jobCount; job++) {
            mFixture.submit("waiting" + job, step(1, 2_000 - 10 * job, false, false));
        }
        mFixture.mLoop.advance(3_000);
        assertEquals(2, mFixture.runningCount());
        long lookedAt = workersLookedAt() - before;
        assertTrue(lookedAt <= 2 * jobCount, lookedAt + " comparisons of 20 tasks and 2 workers");
    }

    @Test
    void aSlowFillerIsComparedWithOtherWorkersAtMostTwiceASecond() {
        worker("w1").taskMillis = 600_000;
        worker("w2").taskMillis = 600_000;
        mFixture.startDispatcher(1);
        mFixture.submit("serving", step(2, 2_500, true, false));
        mFixture.mLoop.advance(3_000);
        mFixture.submit("filler", step(1, 2_000, false, true));
        mFixture.mLoop.advance(6_000);
        assertEquals(3, mFixture.runningCount());
        worker("w1").load = 10 * TARGET_MILLIS;
        worker("w2").load = 10 * TARGET_MILLIS;
        mFixture.mLoop.advance(5_000);
        worker("w1").taskMillis = 100;
        worker("w2").taskMillis = 100;
        long before = moveSearchCount();
        for (int job = 0; job < 40; job++) {
            mFixture.submit("short" + job, step(2, 1_000, false, false));
            mFixture.mLoop.advance(100);
        }
        long searchCount = moveSearchCount() - before;
        assertTrue(searchCount > 0, "the filler is never looked at");
        assertTrue(searchCount <= 8, searchCount + " searches in 4 s");
    }
}
