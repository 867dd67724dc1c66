package org.hornbeamward.dispatch.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamward.dispatch.decide.LookAhead.Release;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.junit.jupiter.api.Test;

/** For which task the room of which worker is held, and who may use it meanwhile. */
class HeldRoomTest {
    private static final long NOW = 10_000;
    private static final StepSpec LARGE = step(8_000, 1_000, false);

    /** A worker of 16 cores without memory limits that bind. */
    private record Worker(String name, long freeMillicores, double suspicion, List<Release> ends)
            implements LookAhead.Candidate {
        @Override
        public WorkerEntry entry() {
            return new WorkerEntry(
                    new WorkerId(name),
                    1,
                    "pool",
                    "address",
                    new FailureDomainId("domain"),
                    "rack",
                    Set.of(),
                    new Resources(16_000, 64_000, 0),
                    false,
                    0,
                    0);
        }

        @Override
        public Resources free() {
            return new Resources(freeMillicores, 32_000, 0);
        }

        @Override
        public List<Release> releases() {
            return ends;
        }

        @Override
        public long fillerCpuMillicores() {
            return 0;
        }

        @Override
        public long longRunningCpuMillicores() {
            return 0;
        }

        @Override
        public double interference(StepSpec step) {
            return 0;
        }

        @Override
        public boolean isHarmedBy(StepSpec step) {
            return false;
        }

        @Override
        public double excludedFillerShare(String image) {
            return 0;
        }
    }

    private static StepSpec step(long cpuMillicores, long estimateMillis, boolean longRunning) {
        return new StepSpec(
                1,
                new Resources(cpuMillicores, 1_000, 0),
                estimateMillis,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                longRunning,
                "",
                0,
                false,
                0);
    }

    private static Release release(long cpuMillicores, long inMillis) {
        return new Release(new Resources(cpuMillicores, 1_000, 0), NOW + inMillis);
    }

    private static Optional<LookAhead.Hold<Worker>> hold(StepSpec step, Worker... workers) {
        Placement.Demand demand = new Placement.Demand(step, "pool", "", 0, null, false);
        return LookAhead.hold(demand, List.of(workers), worker -> 0, NOW);
    }

    /** Guards against room that is held where the task fits later than elsewhere. */
    @Test
    void roomIsHeldWhereEnoughTasksEndFirst() {
        Worker later = new Worker("a", 4_000, 0, List.of(release(4_000, 900)));
        Worker sooner =
                new Worker("b", 2_000, 0, List.of(release(4_000, 700), release(4_000, 200)));
        LookAhead.Hold<Worker> hold = hold(LARGE, later, sooner).orElseThrow();
        assertEquals("b", hold.candidate().name());
        assertEquals(NOW + 700, hold.atMillis());
    }

    /** Guards against workers that stay idle for a task that cannot start there soon. */
    @Test
    void noRoomIsHeldForSmallTasksOrFarAheadOrOnASuspectedWorker() {
        Worker soon = new Worker("a", 2_000, 0, List.of(release(8_000, 500)));
        Worker far = new Worker("b", 2_000, 0, List.of(release(8_000, 2_500)));
        Worker suspected = new Worker("c", 2_000, 1, List.of(release(8_000, 500)));
        assertTrue(hold(LARGE, soon).isPresent());
        assertFalse(hold(step(3_000, 1_000, false), soon).isPresent());
        assertFalse(hold(LARGE, far, suspected).isPresent());
        assertFalse(hold(step(20_000, 1_000, false), soon).isPresent());
        assertFalse(hold(step(8_000, 1_000, true), soon).isPresent());
    }

    /**
     * Guards against small tasks that delay the large one, or that cannot use the time until then.
     */
    @Test
    void onlyTasksThatAreSurelyGoneMayUseHeldRoom() {
        long heldFromMillis = NOW + 700;
        assertTrue(LookAhead.endsBefore(step(1_000, 400, false), NOW, heldFromMillis));
        assertFalse(LookAhead.endsBefore(step(1_000, 600, false), NOW, heldFromMillis));
        assertFalse(LookAhead.endsBefore(step(1_000, 400, true), NOW, heldFromMillis));
    }
}
