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
 * Which worker a task goes to. Load pattern: serving tasks reserve most of the processors and use
 * about half of them; fillers live on the rest and lift the tail of the serving tasks beside them;
 * short tasks need what is not reserved. All kinds are spread, fillers away from serving tasks that
 * they press on.
 */
public final class Placement {
    /** Weight of a rack that makes the task slow, against the share of a worker that is in use. */
    private static final double FAR_WEIGHT = 4.0;

    /** Weight of the headroom that a filler takes from serving tasks. */
    private static final double PRESSURE_WEIGHT = 1.0;

    /**
     * Weight of the filler images that a serving task keeps away from a worker. Serving images with
     * the same foes are kept together, so that every filler image finds workers on which it does no
     * harm.
     */
    private static final double KEPT_AWAY_WEIGHT = 2.0;

    /** Weight of a worker that failed this task before or is suspected. */
    private static final double SUSPECT_WEIGHT = 8.0;

    /** Share of their reservation that lasting tasks use on average. */
    private static final double LASTING_USE = 0.5;

    /**
     * Share of a worker that lasting tasks may reserve. The rest is for short jobs, which earn
     * several times as much for a core.
     */
    private static final double LASTING_SHARE = 0.9;

    /**
     * How long a lasting task leaves the kept room alone while two workers have room for it. The
     * users count a lasting task as lost after three seconds.
     */
    private static final long KEPT_ROOM_WAIT_MILLIS = 1_000;

    /** How long a filler waits for a worker on which it does no harm. */
    private static final long HARMLESS_WAIT_MILLIS = 4_000;

    /** Share of its processors that a filler must find unused. */
    private static final double FILLER_SHARE = 0.7;

    private Placement() {}

    /** A worker as the decision sees it. */
    public interface Candidate {
        /**
         * Returns its entry.
         *
         * @return the newest entry
         */
        WorkerEntry entry();

        /**
         * Returns what is not reserved.
         *
         * @return free capacity
         */
        Resources free();

        /**
         * Returns the processors that fillers ask for.
         *
         * @return millicores
         */
        long fillerCpuMillicores();

        /**
         * Returns the processors that its lasting tasks reserve, fillers excluded.
         *
         * @return millicores
         */
        long lastingCpuMillicores();

        /**
         * Returns how much a filler would press on its serving tasks.
         *
         * @param step step of the filler
         * @return headroom
         */
        double pressure(StepSpec step);

        /**
         * Returns whether a filler would have to work at less than half its speed.
         *
         * @param step step of the filler
         * @return true if a serving task lacks the headroom
         */
        boolean harmedBy(StepSpec step);

        /**
         * Returns the share of filler images that a serving task would keep away in addition.
         *
         * @param image image of the serving task
         * @return 0 if it changes nothing
         */
        double keptAwayShare(String image);

        /**
         * Returns how strongly it is suspected of failing or delaying tasks.
         *
         * @return 0 for a sound worker, 1 for one that is to be avoided
         */
        double suspicion();
    }

    /**
     * What is to be placed.
     *
     * @param step the step of the task
     * @param pool worker pool
     * @param preferredRack rack on which the task is fast; empty for any
     * @param waitedMillis how long the task has found no worker
     * @param failedOn worker on which it failed last; null if it has not failed
     */
    public record Demand(
            StepSpec step,
            String pool,
            String preferredRack,
            long waitedMillis,
            @Nullable WorkerId failedOn) {

        /**
         * What decides which workers are eligible, besides the size.
         *
         * @param pool worker pool
         * @param lasting whether it leaves room for short tasks
         * @param fillerImage image of a filler; empty for a task that reserves processors
         */
        public record Kind(String pool, boolean lasting, String fillerImage) {}

        /**
         * Returns the kind of demand.
         *
         * @return equal for demands that differ in size only
         */
        public Kind kind() {
            return new Kind(pool, step.longRunning(), step.filler() ? step.image() : "");
        }

        /**
         * Returns whether any worker of the pool will do.
         *
         * @return false if the step names a label or a limit of its own
         */
        public boolean isUnrestricted() {
            return step.requiredLabel().isEmpty() && step.maxPerWorker() == 0;
        }
    }

    /**
     * Chooses a worker.
     *
     * @param demand what is to be placed
     * @param candidates workers that may get new tasks
     * @param sameStepCount number of tasks of the same step on a worker
     * @param <C> type of the candidates
     * @return the best worker with room, if there is one
     */
    public static <C extends Candidate> Optional<C> choose(
            Demand demand, Iterable<C> candidates, ToIntFunction<C> sameStepCount) {
        List<C> fitting = new ArrayList<>();
        for (C candidate : candidates) {
            if (eligible(demand, candidate, sameStepCount)) {
                fitting.add(candidate);
            }
        }
        StepSpec step = demand.step();
        if (step.longRunning() && !step.filler()) {
            List<C> roomy = fitting.stream().filter(one -> leavesRoom(step, one)).toList();
            boolean mustWait = fitting.size() < 2 || demand.waitedMillis() < KEPT_ROOM_WAIT_MILLIS;
            fitting = roomy.isEmpty() && !mustWait ? fitting : roomy;
        }
        return fitting.stream().min(Comparator.comparingDouble(one -> cost(demand, one)));
    }

    private static <C extends Candidate> boolean eligible(
            Demand demand, C candidate, ToIntFunction<C> sameStepCount) {
        StepSpec step = demand.step();
        WorkerEntry entry = candidate.entry();
        if (!entry.pool().equals(demand.pool())
                || !step.reservation().fitsIn(candidate.free())
                || !(step.requiredLabel().isEmpty()
                        || entry.labels().contains(step.requiredLabel()))) {
            return false;
        }
        if (step.maxPerWorker() > 0 && sameStepCount.applyAsInt(candidate) >= step.maxPerWorker()) {
            return false;
        }
        if (!step.filler()) {
            return true;
        }
        if (demand.waitedMillis() < HARMLESS_WAIT_MILLIS && candidate.harmedBy(step)) {
            return false;
        }
        return unusedCpu(candidate) >= FILLER_SHARE * step.size().cpuMillicores();
    }

    /** Returns whether short tasks still find room beside a lasting one. */
    private static boolean leavesRoom(StepSpec step, Candidate candidate) {
        double limit = LASTING_SHARE * candidate.entry().capacity().cpuMillicores();
        return candidate.lastingCpuMillicores() + step.size().cpuMillicores() <= limit
                || step.size().times(2).fitsIn(candidate.free());
    }

    /** Returns the processors that are expected to be unused, fillers at full pace included. */
    private static double unusedCpu(Candidate candidate) {
        return candidate.free().cpuMillicores()
                + (1 - LASTING_USE) * candidate.lastingCpuMillicores()
                - candidate.fillerCpuMillicores();
    }

    private static double cost(Demand demand, Candidate candidate) {
        StepSpec step = demand.step();
        double capacity = candidate.entry().capacity().cpuMillicores();
        double used = 1.0 - (unusedCpu(candidate) - step.size().cpuMillicores()) / capacity;
        double cost = used + SUSPECT_WEIGHT * candidate.suspicion();
        if (candidate.entry().id().equals(demand.failedOn())) {
            cost += SUSPECT_WEIGHT;
        }
        if (!demand.preferredRack().isEmpty()
                && !demand.preferredRack().equals(candidate.entry().rack())) {
            cost += FAR_WEIGHT;
        }
        if (step.filler()) {
            cost += PRESSURE_WEIGHT * candidate.pressure(step);
        }
        if (step.serving()) {
            cost += KEPT_AWAY_WEIGHT * candidate.keptAwayShare(step.image());
        }
        return cost;
    }
}
