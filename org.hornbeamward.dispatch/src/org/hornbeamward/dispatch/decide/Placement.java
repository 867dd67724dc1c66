package org.hornbeamward.dispatch.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the worker for a task. Load pattern: serving tasks reserve most of the processors and use
 * about half of them; fillers use the rest and raise the tail latency of the serving tasks beside
 * them; short tasks need processors that are not reserved. A task needs all its processors on one
 * worker, so tasks that reserve processors go where they leave the least room, and the room that is
 * free stays in pieces that are large enough for further tasks. Fillers are spread, and kept away
 * from serving tasks that they interfere with.
 */
public final class Placement {
    /** Weight of a rack on which the task is slow, relative to the used share of a worker. */
    private static final double OTHER_RACK_WEIGHT = 4.0;

    /** Weight of the interference of a filler with serving tasks. */
    private static final double INTERFERENCE_WEIGHT = 1.0;

    /**
     * Weight of the filler images that a serving task excludes from a worker. Serving images that
     * suffer from the same filler images are placed together, so that every filler image finds
     * workers on which it does no harm.
     */
    private static final double EXCLUSION_WEIGHT = 2.0;

    /**
     * Weight of each task of the same step on a worker for a long-running task, relative to the
     * share of the worker that stays free. Tasks of a step share the swings of their load, which
     * leave fillers beside several of them little time at the peaks.
     */
    private static final double SAME_STEP_WEIGHT = 0.25;

    /**
     * Share of a worker's memory that the tasks on all its processors are expected to need. Fillers
     * reserve memory only; free processors are of no use to other tasks without memory.
     */
    private static final double EXPECTED_MEMORY_SHARE = 0.5;

    /** Weight of the share of memory that a filler takes from the worker's free processors. */
    private static final double MISSING_MEMORY_WEIGHT = 4.0;

    /** Weight of a worker on which this task failed last, or that is suspected of failing tasks. */
    private static final double SUSPECT_WEIGHT = 8.0;

    /** Share of their reservation that long-running tasks use on average. */
    private static final double LONG_RUNNING_USE = 0.5;

    /**
     * Share of a pool's processors that long-running tasks may reserve. The rest is kept for short
     * jobs, which earn several times as much per core. It is a share of the pool, since a tenth of
     * each worker is less than what a task needs.
     */
    private static final double MAX_LONG_RUNNING_SHARE = 0.9;

    /**
     * How long there must have been room for a long-running task twice without a break before it
     * may take the room kept for short jobs, which leave such breaks while they use it. The users
     * count a long-running task as lost that waits three seconds beside room for it twice.
     */
    private static final long SHORT_JOB_ROOM_WAIT_MILLIS = 1_000;

    /** Longest time that a filler waits for a worker on which it does no harm. */
    private static final long HARMLESS_WORKER_WAIT_MILLIS = 4_000;

    /** Share of the processors requested by a filler that must be unused on the worker. */
    private static final double MIN_UNUSED_SHARE = 0.7;

    private Placement() {}

    /** A worker that may receive the task. */
    public interface Candidate {
        /**
         * Returns the worker's entry.
         *
         * @return the newest entry
         */
        WorkerEntry entry();

        /**
         * Returns the capacity that is not reserved.
         *
         * @return free capacity
         */
        Resources free();

        /**
         * Returns the capacity that a task may use: what is free, less the room that is held for
         * another task which is expected to start before this one ends.
         *
         * @param step step of the task
         * @return usable capacity, which may be negative
         */
        default Resources freeFor(StepSpec step) {
            return free();
        }

        /**
         * Returns the processors that the fillers on the worker request.
         *
         * @return millicores
         */
        long fillerCpuMillicores();

        /**
         * Returns the processors that the worker's long-running tasks reserve, fillers excluded.
         *
         * @return millicores
         */
        long longRunningCpuMillicores();

        /**
         * Returns how much a filler would interfere with the worker's serving tasks.
         *
         * @param step step of the filler
         * @return a cost; see {@link Neighbors#interference}
         */
        double interference(StepSpec step);

        /**
         * Returns whether a filler had better wait for another worker.
         *
         * @param step step of the filler
         * @return true if the serving tasks lack the headroom; see {@link Neighbors#isHarmedBy}
         */
        boolean isHarmedBy(StepSpec step);

        /**
         * Returns the share of filler images that a serving task would exclude from the worker in
         * addition to those that the present serving tasks exclude.
         *
         * @param image image of the serving task
         * @return 0 if no further image is excluded
         */
        double excludedFillerShare(String image);

        /**
         * Returns how strongly the worker is suspected of failing or delaying tasks.
         *
         * @return 0 for a healthy worker, 1 for one to avoid
         */
        double suspicion();
    }

    /**
     * A task that needs a worker.
     *
     * @param step the step of the task
     * @param pool worker pool
     * @param preferredRack rack on which the task is fast; empty for any
     * @param waitedMillis how long no worker was found for the task; for a long-running task that
     *     is no filler, how long there has been room for it twice meanwhile
     * @param failedOn worker on which it failed last; null if it has not failed
     * @param interrupted whether it is long-running and has been running before, so that it had
     *     room that was not kept for short jobs
     */
    public record Demand(
            StepSpec step,
            String pool,
            String preferredRack,
            long waitedMillis,
            @Nullable WorkerId failedOn,
            boolean interrupted) {

        /**
         * The properties, apart from the size, that determine which workers are eligible.
         *
         * @param pool worker pool
         * @param longRunning whether the task is long-running and has to leave room for short ones
         * @param fillerImage image of a filler; empty for a task that reserves processors
         */
        public record Kind(String pool, boolean longRunning, String fillerImage) {}

        /**
         * Returns the kind of the task.
         *
         * @return a value that is equal for demands that differ only in size
         */
        public Kind kind() {
            return new Kind(pool, step.longRunning(), step.filler() ? step.image() : "");
        }

        /**
         * Returns whether every worker of the pool is acceptable, apart from its free capacity.
         *
         * @return false if the step requires a label or limits its tasks per worker
         */
        public boolean isUnrestricted() {
            return step.requiredLabel().isEmpty() && step.maxPerWorker() == 0;
        }
    }

    /**
     * Chooses a worker for a task.
     *
     * @param demand task to place and its requirements
     * @param candidates workers that accept new tasks
     * @param sameStepCount number of tasks of the same step on a worker
     * @param <C> type of the candidates
     * @return the eligible worker with the lowest cost, if there is one
     */
    public static <C extends Candidate> Optional<C> choose(
            Demand demand, Iterable<C> candidates, ToIntFunction<C> sameStepCount) {
        StepSpec step = demand.step();
        boolean keepsRoom =
                step.longRunning()
                        && !step.filler()
                        && !demand.interrupted()
                        && !leavesShortJobRoom(demand, candidates);
        if (keepsRoom && demand.waitedMillis() < SHORT_JOB_ROOM_WAIT_MILLIS) {
            return Optional.empty();
        }
        if (keepsRoom && !isRoomTwice(demand, candidates, sameStepCount)) {
            return Optional.empty();
        }
        C best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (C candidate : candidates) {
            if (isEligible(demand, candidate, sameStepCount)) {
                double cost = cost(demand, candidate);
                if (step.longRunning() && !step.filler()) {
                    cost += SAME_STEP_WEIGHT * sameStepCount.applyAsInt(candidate);
                }
                if (cost < bestCost) {
                    best = candidate;
                    bestCost = cost;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns how many workers are eligible for a task.
     *
     * @param demand task and its requirements
     * @param candidates workers that accept new tasks
     * @param sameStepCount number of tasks of the same step on a worker
     * @param <C> type of the candidates
     * @return number of workers that can run the task and have the room
     */
    public static <C extends Candidate> int eligibleCount(
            Demand demand, Iterable<C> candidates, ToIntFunction<C> sameStepCount) {
        int count = 0;
        for (C candidate : candidates) {
            count += isEligible(demand, candidate, sameStepCount) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns whether there is room for a task twice, on two workers or on one.
     *
     * @param demand task and its requirements
     * @param candidates workers that accept new tasks
     * @param sameStepCount number of tasks of the same step on a worker
     * @param <C> type of the candidates
     * @return whether the task and another one like it fit
     */
    public static <C extends Candidate> boolean isRoomTwice(
            Demand demand, Iterable<C> candidates, ToIntFunction<C> sameStepCount) {
        int roomCount = 0;
        for (C candidate : candidates) {
            if (isEligible(demand, candidate, sameStepCount)) {
                boolean twice = demand.step().size().times(2).fitsIn(candidate.free());
                roomCount += twice ? 2 : 1;
                if (roomCount >= 2) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Chooses the worker whose room is kept free for an interrupted long-running task that fits on
     * none. Load pattern: a steady stream of short tasks takes each piece of room as it becomes
     * free, so that a larger task would wait for as long as the stream lasts. Room for short tasks
     * is left on the worker.
     *
     * @param demand task to place and its requirements
     * @param candidates workers that accept new tasks
     * @param sameStepCount number of tasks of the same step on a worker
     * @param <C> type of the candidates
     * @return the suitable worker with the most free processors, if there is one
     */
    public static <C extends Candidate> Optional<C> chooseToKeepFree(
            Demand demand, Iterable<C> candidates, ToIntFunction<C> sameStepCount) {
        if (!leavesShortJobRoom(demand, candidates)) {
            return Optional.empty();
        }
        StepSpec step = demand.step();
        List<C> suitable = new ArrayList<>();
        for (C candidate : candidates) {
            Resources capacity = candidate.entry().capacity();
            long longRunningMillicores =
                    candidate.longRunningCpuMillicores() + step.size().cpuMillicores();
            if (step.reservation().fitsIn(capacity)
                    && isSuitable(demand, candidate, sameStepCount)
                    && longRunningMillicores <= capacity.cpuMillicores()) {
                suitable.add(candidate);
            }
        }
        return suitable.stream()
                .max(Comparator.comparingLong(candidate -> candidate.free().cpuMillicores()));
    }

    /** Returns whether a worker can run a task, apart from the capacity that is free now. */
    static <C extends Candidate> boolean isSuitable(
            Demand demand, C candidate, ToIntFunction<C> sameStepCount) {
        int limit = demand.step().maxPerWorker();
        return isInPool(demand, candidate)
                && (limit == 0 || sameStepCount.applyAsInt(candidate) < limit);
    }

    /** Returns whether a worker belongs to the pool and has the label that a task requires. */
    private static boolean isInPool(Demand demand, Candidate candidate) {
        WorkerEntry entry = candidate.entry();
        String label = demand.step().requiredLabel();
        return entry.pool().equals(demand.pool())
                && (label.isEmpty() || entry.labels().contains(label));
    }

    private static <C extends Candidate> boolean isEligible(
            Demand demand, C candidate, ToIntFunction<C> sameStepCount) {
        StepSpec step = demand.step();
        if (!step.reservation().fitsIn(candidate.freeFor(step))
                || !isSuitable(demand, candidate, sameStepCount)) {
            return false;
        }
        if (!step.filler()) {
            return true;
        }
        return unusedCpu(candidate) >= MIN_UNUSED_SHARE * step.size().cpuMillicores()
                && (demand.waitedMillis() >= HARMLESS_WORKER_WAIT_MILLIS
                        || !candidate.isHarmedBy(step));
    }

    /**
     * Returns whether a further long-running task leaves the share of the processors that is kept
     * for short jobs, on the workers that could run the task if they were empty.
     */
    private static boolean leavesShortJobRoom(
            Demand demand, Iterable<? extends Candidate> candidates) {
        long capacityMillicores = 0;
        long longRunningMillicores = demand.step().size().cpuMillicores();
        for (Candidate candidate : candidates) {
            if (isInPool(demand, candidate)) {
                capacityMillicores += candidate.entry().capacity().cpuMillicores();
                longRunningMillicores += candidate.longRunningCpuMillicores();
            }
        }
        return longRunningMillicores <= MAX_LONG_RUNNING_SHARE * capacityMillicores;
    }

    /** Returns the processors that are expected to stay unused with all fillers at full pace. */
    private static double unusedCpu(Candidate candidate) {
        return candidate.free().cpuMillicores()
                + (1 - LONG_RUNNING_USE) * candidate.longRunningCpuMillicores()
                - candidate.fillerCpuMillicores();
    }

    /** Returns the share of the processors that are used with a filler, others at full pace. */
    private static double usedShare(StepSpec filler, Candidate candidate) {
        double capacity = Math.max(1, candidate.entry().capacity().cpuMillicores());
        return 1.0 - (unusedCpu(candidate) - filler.size().cpuMillicores()) / capacity;
    }

    /** Returns the share of the memory that the free processors will lack beside a filler. */
    private static double missingMemoryShare(StepSpec filler, Candidate candidate) {
        Resources capacity = candidate.entry().capacity();
        Resources free = candidate.free();
        double freeCpuShare = (double) free.cpuMillicores() / Math.max(1, capacity.cpuMillicores());
        double remainingShare =
                (double) (free.memoryMib() - filler.size().memoryMib())
                        / Math.max(1, capacity.memoryMib());
        return Math.max(0, EXPECTED_MEMORY_SHARE * freeCpuShare - remainingShare);
    }

    /** Returns the share of the scarcer resource that stays free beside a task. */
    private static double remainingShare(StepSpec step, Candidate candidate) {
        Resources capacity = candidate.entry().capacity();
        Resources remaining = candidate.free().minus(step.reservation());
        return Math.min(
                (double) remaining.cpuMillicores() / Math.max(1, capacity.cpuMillicores()),
                (double) remaining.memoryMib() / Math.max(1, capacity.memoryMib()));
    }

    private static double cost(Demand demand, Candidate candidate) {
        StepSpec step = demand.step();
        double cost = step.filler() ? usedShare(step, candidate) : remainingShare(step, candidate);
        cost += SUSPECT_WEIGHT * candidate.suspicion();
        if (candidate.entry().id().equals(demand.failedOn())) {
            cost += SUSPECT_WEIGHT;
        }
        if (!demand.preferredRack().isEmpty()
                && !demand.preferredRack().equals(candidate.entry().rack())) {
            cost += OTHER_RACK_WEIGHT;
        }
        if (step.filler()) {
            cost += MISSING_MEMORY_WEIGHT * missingMemoryShare(step, candidate);
            cost += INTERFERENCE_WEIGHT * candidate.interference(step);
        }
        if (step.serving()) {
            cost += EXCLUSION_WEIGHT * candidate.excludedFillerShare(step.image());
        }
        return cost;
    }
}
