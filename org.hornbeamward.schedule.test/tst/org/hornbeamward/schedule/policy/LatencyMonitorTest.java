package org.hornbeamward.schedule.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeMap;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.usage.TaskUsage;
import org.hornbeamward.schedule.usage.UsageSample;
import org.junit.jupiter.api.Test;

class LatencyMonitorTest {
    private static final TaskId TASK = new TaskId(new JobId("j"), 0);

    private static UsageSample sample(long second, double ratio, int throttlePercent) {
        TreeMap<String, Double> ratios = new TreeMap<>();
        ratios.put("web", ratio);
        return new UsageSample(
                new WorkerId("w"),
                1,
                second * 1000,
                List.of(new TaskUsage(TASK, 7, "pack", 1000, 100, throttlePercent)),
                ratios);
    }

    private static Reduction throttle() {
        JobSpec spec =
                new JobSpec(
                        TASK.job(),
                        new TeamId("t"),
                        "pack",
                        JobKind.BATCH,
                        1,
                        new Resources(1000, 100, 0),
                        false,
                        true,
                        0,
                        0);
        return new Reduction(Reduction.Kind.THROTTLE, new ResidentTask(TASK, 7, spec), 50);
    }

    /** Guards against a reduction because of one or two noisy samples. */
    @Test
    void reductionNeedsThreeSamples() {
        LatencyMonitor monitor = new LatencyMonitor();
        monitor.observe(sample(1, 9, 100));
        monitor.observe(sample(6, 9, 100));
        assertFalse(monitor.isLatencyAbove(1));
        monitor.observe(sample(11, 9, 100));
        assertTrue(monitor.isLatencyAbove(1));
    }

    /** Guards against a second reduction because of samples from before the first took effect. */
    @Test
    void samplesFromBeforeTheEffectOfAReductionDoNotCount() {
        LatencyMonitor monitor = new LatencyMonitor();
        for (int second = 1; second <= 3; second++) {
            monitor.observe(sample(second, 9, 100));
        }
        monitor.recordReduction(throttle());
        for (int second = 4; second <= 8; second++) {
            monitor.observe(sample(second, 9, 100));
        }
        assertFalse(monitor.isLatencyAbove(1));
        monitor.observe(sample(9, 9, 50));
        monitor.observe(sample(10, 9, 50));
        assertFalse(monitor.isLatencyAbove(1));
        monitor.observe(sample(11, 9, 50));
        assertTrue(monitor.isLatencyAbove(1));
    }
}
