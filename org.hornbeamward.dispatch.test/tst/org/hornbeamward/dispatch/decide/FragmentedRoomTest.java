package org.hornbeamward.dispatch.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays a pool in which long-running tasks reserve nine tenths of the processors and short jobs
 * come and go. Guards against short tasks that wait for good although many processors are free, but
 * no worker has enough of them.
 */
class FragmentedRoomTest {
    private static final int WORKER_COUNT = 90;
    private static final long SMALL_MILLICORES = 16_000;
    private static final long LARGE_MILLICORES = 24_000;

    /** Share of the processors that long-running tasks ask for. */
    private static final double LONG_RUNNING_SHARE = 0.9;

    private static final long LONG_RUNNING_MEAN_MILLIS = 70_000;
    private static final long SHORT_MEAN_MILLIS = 800;
    private static final long TICK_MILLIS = 50;
    private static final long END_MILLIS = 40_000;

    /** Share of the processors that short jobs use on average, half of what is kept for them. */
    private static final double SHORT_SHARE = 0.05;

    /**
     * Share of the processors beside which a short task must not wait, three quarters of what is
     * kept for short jobs; the rest may lie in pieces beside the long-running tasks.
     */
    private static final double FREE_SHARE = 0.075;

    /** How long a task of 0.8 s may wait if its job has 1.5 times as long. */
    private static final long OBJECTIVE_WAIT_MILLIS = 400;

    private static final long FILLER_MEMORY_MIB = 6_000;

    /** A filler that asks for few processors and much memory. */
    private static final StepSpec FILLER =
            new StepSpec(
                    1,
                    new Resources(500, FILLER_MEMORY_MIB, 0),
                    SHORT_MEAN_MILLIS,
                    List.of(),
                    false,
                    false,
                    false,
                    "",
                    "",
                    0,
                    false,
                    false,
                    "filler",
                    0,
                    true,
                    0);

    private record Placed(StepSpec step, long endMillis) {}

    private record Waiting(StepSpec step, long sinceMillis, long durationMillis) {}

    private static final class Worker implements Placement.Candidate {
        private final String mName;
        private final long mMillicores;
        private final List<Placed> mTasks = new ArrayList<>();

        Worker(String name, long millicores) {
            mName = name;
            mMillicores = millicores;
        }

        @Override
        public WorkerEntry entry() {
            return new WorkerEntry(
                    new WorkerId(mName),
                    1,
                    "pool",
                    "address:1",
                    new FailureDomainId("zone"),
                    "rack",
                    Set.of(),
                    new Resources(mMillicores, 4 * mMillicores, 0),
                    false,
                    0,
                    0);
        }

        @Override
        public Resources free() {
            Resources free = entry().capacity();
            for (Placed task : mTasks) {
                free = free.minus(task.step().reservation());
            }
            return free;
        }

        @Override
        public long fillerCpuMillicores() {
            return mTasks.stream()
                    .filter(task -> task.step().filler())
                    .mapToLong(task -> task.step().size().cpuMillicores())
                    .sum();
        }

        @Override
        public long longRunningCpuMillicores() {
            long millicores = 0;
            for (Placed task : mTasks) {
                millicores += task.step().longRunning() ? task.step().size().cpuMillicores() : 0;
            }
            return millicores;
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

        @Override
        public double suspicion() {
            return 0;
        }
    }

    private final List<Worker> mWorkers = new ArrayList<>();
    private final List<Waiting> mWaiting = new ArrayList<>();
    private long mNowMillis;

    FragmentedRoomTest() {
        for (int index = 0; index < WORKER_COUNT; index++) {
            mWorkers.add(
                    new Worker("w" + index, index % 3 == 0 ? LARGE_MILLICORES : SMALL_MILLICORES));
        }
    }

    private static StepSpec step(long cpuMillicores, boolean longRunning) {
        return new StepSpec(
                1,
                new Resources(cpuMillicores, 2 * cpuMillicores, 0),
                SHORT_MEAN_MILLIS,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                longRunning,
                "image",
                longRunning ? 24 : 0,
                false,
                0);
    }

    private boolean place(Waiting task) {
        Placement.Demand demand =
                new Placement.Demand(
                        task.step(), "pool", "", mNowMillis - task.sinceMillis(), null, false);
        Optional<Worker> chosen = Placement.choose(demand, mWorkers, worker -> 0);
        chosen.ifPresent(
                worker ->
                        worker.mTasks.add(
                                new Placed(task.step(), mNowMillis + task.durationMillis())));
        return chosen.isPresent();
    }

    private void submit(StepSpec step, long durationMillis) {
        mWaiting.add(new Waiting(step, mNowMillis, durationMillis));
    }

    /** Ends the tasks that are over, then places those that wait, short ones first. */
    private void advance() {
        mNowMillis += TICK_MILLIS;
        for (Worker worker : mWorkers) {
            worker.mTasks.removeIf(task -> task.endMillis() <= mNowMillis);
        }
        placeAll(false);
        placeAll(true);
    }

    private void placeAll(boolean longRunning) {
        for (Iterator<Waiting> tasks = mWaiting.iterator(); tasks.hasNext(); ) {
            Waiting task = tasks.next();
            if (task.step().longRunning() == longRunning && place(task)) {
                tasks.remove();
            }
        }
    }

    private long capacityMillicores() {
        return mWorkers.stream().mapToLong(worker -> worker.mMillicores).sum();
    }

    private long freeMillicores() {
        return mWorkers.stream().mapToLong(worker -> worker.free().cpuMillicores()).sum();
    }

    private long longRunningMillicores() {
        long waiting =
                mWaiting.stream()
                        .filter(task -> task.step().longRunning())
                        .mapToLong(task -> task.step().size().cpuMillicores())
                        .sum();
        return waiting + mWorkers.stream().mapToLong(Worker::longRunningCpuMillicores).sum();
    }

    private static long exponential(Random random, long mean) {
        return (long) Math.ceil(-mean * Math.log(1 - random.nextDouble()));
    }

    private static long around(Random random, long mean, double spread) {
        return (long) (mean * Math.min(3, Math.max(0.3, 1 + spread * random.nextGaussian())));
    }

    private void submitLongRunning(Random random) {
        while (longRunningMillicores() < LONG_RUNNING_SHARE * capacityMillicores()) {
            submit(
                    step(around(random, 3_200, 0.25), true),
                    exponential(random, LONG_RUNNING_MEAN_MILLIS));
        }
    }

    private void submitShort(Random random) {
        double tasks = SHORT_SHARE * capacityMillicores() / 3_000 * TICK_MILLIS / SHORT_MEAN_MILLIS;
        if (random.nextDouble() < tasks / 8) {
            StepSpec step = step(around(random, 3_000, 0.45), false);
            for (int index = 0; index < 8; index++) {
                submit(step, around(random, SHORT_MEAN_MILLIS, 0.5));
            }
        }
    }

    /** The room that is kept for short jobs has to suffice for a task of half a worker. */
    @Test
    void aTaskOfHalfAWorkerStartsBesideNineTenthsOfLongRunningTasks() {
        submitLongRunning(new Random(1));
        for (int tick = 0; tick < 40; tick++) {
            advance();
        }
        submit(step(SMALL_MILLICORES / 2, false), SHORT_MEAN_MILLIS);
        advance();
        assertEquals(0, mWaiting.stream().filter(task -> !task.step().longRunning()).count());
    }

    /**
     * Guards against fillers that take all memory of the workers whose processors are kept free:
     * they find most idle processors there, and reserve memory only.
     */
    @Test
    void fillersLeaveMemoryBesideTheProcessorsKeptForShortJobs() {
        submitLongRunning(new Random(1));
        for (int tick = 0; tick < 40; tick++) {
            advance();
        }
        long memoryMib = 4 * capacityMillicores() / 5;
        for (long placedMib = 0; placedMib < memoryMib; placedMib += FILLER_MEMORY_MIB) {
            submit(FILLER, END_MILLIS);
        }
        advance();
        submit(step(SMALL_MILLICORES / 2, false), SHORT_MEAN_MILLIS);
        advance();
        assertEquals(
                0,
                mWaiting.stream()
                        .filter(task -> task.step().size().cpuMillicores() == SMALL_MILLICORES / 2)
                        .count());
    }

    /** Short tasks that use half of what is kept for them must not wait beyond their objective. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void shortTasksStartInTimeWhileLongRunningTasksComeAndGo(long seed) {
        Random random = new Random(seed);
        int submittedCount = 0;
        int lateCount = 0;
        while (mNowMillis < END_MILLIS) {
            submitLongRunning(random);
            int before = mWaiting.size();
            submitShort(random);
            submittedCount += mWaiting.size() - before;
            advance();
            for (Waiting task : mWaiting) {
                long waitedMillis = mNowMillis - task.sinceMillis();
                if (!task.step().longRunning()
                        && freeMillicores() >= FREE_SHARE * capacityMillicores()
                        && waitedMillis >= OBJECTIVE_WAIT_MILLIS
                        && waitedMillis < OBJECTIVE_WAIT_MILLIS + TICK_MILLIS) {
                    lateCount++;
                }
            }
        }
        assertTrue(
                lateCount <= submittedCount / 100,
                lateCount + " of " + submittedCount + " short tasks wait for too long");
    }
}
