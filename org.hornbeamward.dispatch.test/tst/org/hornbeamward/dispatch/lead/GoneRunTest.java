package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.dispatch.fake.FakeWorker;
import org.junit.jupiter.api.Test;

/** The evidence on which a leader gives up a run that has not been reported as ended. */
class GoneRunTest {
    private final LeaderFixture mFixture = new LeaderFixture();

    /** Returns the number of runs that were given up, by evidence. */
    private Map<String, Double> countByEvidence() {
        Map<String, Double> counts = new TreeMap<>();
        mFixture.mMetrics.registry().scrape().stream()
                .filter(
                        metric ->
                                metric.getMetadata()
                                        .getPrometheusName()
                                        .equals("hornbeamward_runs_gone"))
                .flatMap(metric -> ((CounterSnapshot) metric).getDataPoints().stream())
                .forEach(point -> counts.put(point.getLabels().get("evidence"), point.getValue()));
        return counts;
    }

    private FakeWorker startTask() {
        mFixture.mWorkers.get("w1").taskMillis = 60_000;
        mFixture.mWorkers.get("w2").taskMillis = 60_000;
        mFixture.startDispatcher(1);
        mFixture.submit("job", LeaderFixture.step(1, 1_000));
        // Until a poll answer has listed the run.
        mFixture.mLoop.advance(1_500);
        FakeWorker first = mFixture.mWorkers.get("w1");
        return first.running().isEmpty() ? mFixture.mWorkers.get("w2") : first;
    }

    @Test
    void aRunOfASilentWorkerIsGivenUpOnceItsLeasesHaveLapsed() {
        startTask().unreachable = true;
        mFixture.mLoop.advance(12_000);
        assertEquals(Map.of("LEASES_LAPSED", 1.0), countByEvidence());
    }

    @Test
    void aRunOfAnEndedIncarnationIsGivenUpAtTheRestart() {
        startTask().restart();
        mFixture.mLoop.advance(3_000);
        assertEquals(Map.of("RESTARTED", 1.0), countByEvidence());
    }

    @Test
    void aRunIsGivenUpWhenAnotherWorkerAnswersAtTheAddressOfItsOwn() {
        startTask().addressTaken = true;
        mFixture.mLoop.advance(3_000);
        assertEquals(Map.of("OTHER_WORKER", 1.0), countByEvidence());
    }
}
