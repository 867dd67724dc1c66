package org.hornbeamward.dispatch.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests of the choice of a worker in situations from the deployments' days. */
class PlacementTest {
    private static final long CAPACITY_MILLICORES = 32_000;

    /**
     * A worker with properties set by the test.
     *
     * @param name its id
     * @param longRunning millicores that long-running tasks reserve
     * @param shortTasks millicores that short tasks reserve
     * @param fillers millicores that fillers request
     * @param image image of its serving tasks
     * @param interference headroom that a filler would take from them
     * @param harmed whether the filler is known to harm them
     * @param suspicion how suspect the worker is
     */
    private record Worker(
            String name,
            long longRunning,
            long shortTasks,
            long fillers,
            String image,
            double interference,
            boolean harmed,
            double suspicion)
            implements Placement.Candidate {
        @Override
        public WorkerEntry entry() {
            return new WorkerEntry(
                    new WorkerId(name),
                    1,
                    "pool",
                    "address:1",
                    new FailureDomainId("zone"),
                    "rack-" + name,
                    Set.of("kind"),
                    new Resources(CAPACITY_MILLICORES, 128_000, 0),
                    false,
                    0,
                    0);
        }

        @Override
        public Resources free() {
            long free = CAPACITY_MILLICORES - longRunning - shortTasks;
            return new Resources(free, 100_000, 0);
        }

        @Override
        public long fillerCpuMillicores() {
            return fillers;
        }

        @Override
        public long longRunningCpuMillicores() {
            return longRunning;
        }

        @Override
        public double interference(StepSpec step) {
            return interference;
        }

        @Override
        public boolean isHarmedBy(StepSpec step) {
            return harmed;
        }

        @Override
        public double excludedFillerShare(String ofImage) {
            return image.equals(ofImage) ? 0 : 0.4;
        }
    }

    private static Worker plain(String name, long longRunning, long fillers) {
        return new Worker(name, longRunning, 0, fillers, "image", 0, false, 0);
    }

    private static StepSpec step(
            long cpuMillicores, boolean filler, boolean longRunning, String rack) {
        return new StepSpec(
                1,
                new Resources(cpuMillicores, 1_000, 0),
                2_000,
                List.of(),
                false,
                false,
                false,
                "",
                rack,
                0,
                false,
                longRunning,
                "image",
                longRunning ? 24 : 0,
                filler,
                0);
    }

    private static String choose(StepSpec step, long waitedMillis, Worker... workers) {
        return choose(step, waitedMillis, null, workers);
    }

    private static String choose(
            StepSpec step, long waitedMillis, @Nullable WorkerId failedOn, Worker... workers) {
        return choose(
                new Placement.Demand(step, "pool", step.dataRack(), waitedMillis, failedOn, false),
                workers);
    }

    private static String choose(Placement.Demand demand, Worker... workers) {
        return Placement.choose(demand, List.of(workers), worker -> 0)
                .map(Worker::name)
                .orElse("none");
    }

    /** Guards against a heavy filler beside serving tasks although another worker has room. */
    @Test
    void aFillerGoesWhereItInterferesLeast() {
        Worker contended = new Worker("a", 20_000, 0, 0, "image", 2.0, false, 0);
        Worker busier = plain("b", 20_000, 7_000);
        assertEquals("b", choose(step(3_500, true, false, ""), 0, contended, busier));
    }

    /** Guards against a filler that waits indefinitely because it harms tasks on every worker. */
    @Test
    void aHarmfulFillerWaitsForAnotherWorkerButNotIndefinitely() {
        Worker harmed = new Worker("a", 20_000, 0, 0, "image", 2.0, true, 0);
        StepSpec filler = step(3_500, true, false, "");
        assertEquals("none", choose(filler, 0, harmed));
        assertEquals("a", choose(filler, 6_000, harmed));
    }

    /** Guards against fillers that starve: reserved processors are only partly used. */
    @Test
    void fillersUseWhatLongRunningTasksReserveAndLeaveIdle() {
        StepSpec filler = step(3_500, true, false, "");
        assertEquals("a", choose(filler, 0, plain("a", 32_000, 7_000)));
        assertEquals("none", choose(filler, 0, plain("a", 32_000, 14_000)));
    }

    /** Guards against long-running tasks that leave no room for short jobs on any worker. */
    @Test
    void longRunningTasksLeaveATenthOfAWorker() {
        StepSpec longRunning = step(6_400, false, true, "");
        assertEquals("none", choose(longRunning, 0, plain("a", 25_600, 0)));
        StepSpec quick = step(6_400, false, false, "");
        assertEquals("a", choose(quick, 0, plain("a", 25_600, 0)));
    }

    /**
     * Guards against a long-running task that is lost because the only worker with twice the room
     * it needs keeps it for short jobs.
     */
    @Test
    void aLongRunningTaskWaitsAtMostASecondBesideRoomThatIsThereTwice() {
        StepSpec longRunning = step(1_500, false, true, "");
        assertEquals("none", choose(longRunning, 0, plain("a", 28_800, 0)));
        assertEquals("a", choose(longRunning, 1_000, plain("a", 28_800, 0)));
        assertEquals("none", choose(longRunning, 1_000, plain("a", 29_200, 0)));
    }

    /** Guards against a tenth that is kept on each worker, where no short task fits into it. */
    @Test
    void longRunningTasksFillAWorkerWhileOthersKeepRoomForShortJobs() {
        StepSpec longRunning = step(6_400, false, true, "");
        assertEquals("a", choose(longRunning, 0, plain("a", 25_600, 0), plain("b", 19_200, 0)));
        assertEquals("none", choose(longRunning, 0, plain("a", 25_600, 0), plain("b", 25_700, 0)));
    }

    /**
     * Guards against tasks of a step that are placed on one worker, where their loads peak at the
     * same time and leave nothing to fillers.
     */
    @Test
    void longRunningTasksOfAStepArePlacedApart() {
        StepSpec longRunning = step(6_400, false, true, "");
        Placement.Demand demand = new Placement.Demand(longRunning, "pool", "", 0, null, false);
        Worker sameStep = plain("a", 12_800, 0);
        Worker otherStep = plain("b", 6_400, 0);
        List<Worker> workers = List.of(sameStep, otherStep, plain("c", 0, 0));
        assertEquals(
                "b",
                Placement.choose(demand, workers, worker -> worker == sameStep ? 2 : 0)
                        .map(Worker::name)
                        .orElse("none"));
    }

    /** Guards against a short task that takes a part of the only room for a large one. */
    @Test
    void aShortTaskGoesWhereItLeavesTheLeastRoom() {
        StepSpec task = step(3_000, false, false, "");
        assertEquals("a", choose(task, 0, plain("a", 28_800, 0), plain("b", 6_400, 0)));
        assertEquals("b", choose(task, 0, plain("a", 29_200, 0), plain("b", 6_400, 0)));
    }

    /**
     * Guards against a long-running task that is lost because two workers keep the room it needs
     * for short jobs.
     */
    @Test
    void aLongRunningTaskTakesTheRoomKeptForShortJobsWhenTwoWorkersHaveIt() {
        StepSpec longRunning = step(3_000, false, true, "");
        Worker one = plain("a", 28_800, 0);
        Worker two = plain("b", 28_900, 0);
        assertEquals("none", choose(longRunning, 0, one, two));
        assertEquals("none", choose(longRunning, 1_500, one));
        assertEquals("b", choose(longRunning, 1_500, one, two));
    }

    /**
     * Guards against a task of a lost worker that stays away because the only worker with room
     * keeps it for short jobs.
     */
    @Test
    void anInterruptedLongRunningTaskTakesAnyRoom() {
        StepSpec longRunning = step(3_000, false, true, "");
        Placement.Demand demand = new Placement.Demand(longRunning, "pool", "", 0, null, true);
        assertEquals("a", choose(demand, plain("a", 28_900, 0)));
        assertEquals("none", choose(demand, plain("a", 29_100, 0)));
    }

    /**
     * Guards against serving images that are mixed on every worker, so that every filler does harm
     * on each of them.
     */
    @Test
    void servingTasksOfOneImageAreKeptTogether() {
        Worker same = plain("a", 12_800, 0);
        Worker other = new Worker("b", 6_400, 0, 0, "other", 0, false, 0);
        Worker empty = new Worker("c", 0, 0, 0, "", 0, false, 0);
        assertEquals("a", choose(step(6_400, false, true, ""), 0, other, empty, same));
    }

    /**
     * Guards against placing a task far from its data, or on a worker suspected of failing its
     * tasks.
     */
    @Test
    void aTaskGoesToItsDataButNotToASuspectWorker() {
        Worker far = plain("far", 0, 0);
        Worker near = plain("near", 16_000, 0);
        Worker suspect = new Worker("near", 0, 0, 0, "", 0, false, 1.0);
        StepSpec task = step(1_000, false, false, "rack-near");
        assertEquals("near", choose(task, 0, far, near));
        assertEquals("far", choose(task, 0, far, suspect));
    }

    /**
     * Guards against a task that waits indefinitely because its pool has only the worker on which
     * it failed last.
     */
    @Test
    void aTaskAvoidsTheWorkerItFailedOnUnlessThereIsNoOther() {
        StepSpec task = step(1_000, false, false, "");
        WorkerId failedOn = new WorkerId("a");
        Worker busier = plain("b", 16_000, 0);
        assertEquals("b", choose(task, 0, failedOn, plain("a", 0, 0), busier));
        assertEquals("a", choose(task, 0, failedOn, plain("a", 0, 0)));
    }
}
