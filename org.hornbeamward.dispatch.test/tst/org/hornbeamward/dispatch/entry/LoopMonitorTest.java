package org.hornbeamward.dispatch.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.lead.NodeMetrics;
import org.junit.jupiter.api.Test;

/** The measurement of the event loop's lateness on a virtual clock. */
class LoopMonitorTest {
    /** Guards against a busy event loop that no metric shows. */
    @Test
    void aBusyLoopShowsInTheMetrics() {
        VirtualLoop loop = new VirtualLoop();
        NodeMetrics metrics = new NodeMetrics();
        new LoopMonitor(loop, metrics).start();
        loop.advance(1_000);
        assertEquals(0.0, loopDelay(metrics).getSum());
        loop.stall(700);
        loop.advance(100);
        assertEquals(0.7, loopDelay(metrics).getSum(), 0.1);
        assertTrue(loopDelay(metrics).getCount() > 10);
    }

    private static HistogramSnapshot.HistogramDataPointSnapshot loopDelay(NodeMetrics metrics) {
        return metrics
                .registry()
                .scrape(name -> name.equals("hornbeamward_loop_delay_seconds"))
                .stream()
                .map(HistogramSnapshot.class::cast)
                .findFirst()
                .orElseThrow()
                .getDataPoints()
                .get(0);
    }
}
