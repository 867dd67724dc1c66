package org.hornbeamward.dispatch.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.lib.Resources;

/**
 * Holds the room of a worker for a large task that fits on none yet. Load pattern: small tasks take
 * each piece of room as it becomes free, and leave gaps that large tasks cannot use, so that these
 * wait for as long as small ones keep coming. The task is expected to start where enough other
 * tasks end soonest; until then smaller tasks may use the room if they are expected to be gone by
 * then (backfilling).
 */
public final class LookAhead {
    /**
     * Share of a worker's processors from which a task is large. Smaller ones find gaps by
     * themselves.
     */
    private static final double LARGE_SHARE = 0.25;

    /**
     * Longest time ahead for which room is held. Most tasks end within it, and estimates of later
     * ends are off by as much.
     */
    private static final long MAX_AHEAD_MILLIS = 2_000;

    /** Factor by which a task may exceed its estimate and still be gone in time. */
    private static final double BACKFILL_MARGIN = 1.5;

    private LookAhead() {}

    /**
     * The expected end of a task.
     *
     * @param size what becomes free
     * @param atMillis monotonic time
     */
    public record Release(Resources size, long atMillis) {}

    /** A worker whose tasks' ends are expected. */
    public interface Candidate extends Placement.Candidate {
        /**
         * Returns the expected ends of its tasks.
         *
         * @return the ends of the tasks that do not run until they are cancelled, in any order
         */
        List<Release> releases();
    }

    /**
     * Room that is held for a task.
     *
     * @param candidate worker whose room is held
     * @param atMillis monotonic time from which the task is expected to fit
     * @param <C> type of the candidate
     */
    public record Hold<C>(C candidate, long atMillis) {}

    /**
     * Chooses the worker on which a task that fits on none is expected to fit first.
     *
     * @param demand task to place and its requirements
     * @param candidates workers that accept new tasks and whose room is not held yet
     * @param sameStepCount number of tasks of the same step on a worker
     * @param nowMillis monotonic time
     * @param <C> type of the candidates
     * @return the worker, if the task is large and is expected to fit on one soon
     */
    public static <C extends Candidate> Optional<Hold<C>> hold(
            Placement.Demand demand,
            Iterable<C> candidates,
            ToIntFunction<C> sameStepCount,
            long nowMillis) {
        StepSpec step = demand.step();
        if (step.filler() || step.longRunning() || step.gang()) {
            return Optional.empty();
        }
        Hold<C> best = null;
        for (C candidate : candidates) {
            Resources capacity = candidate.entry().capacity();
            boolean large = step.size().cpuMillicores() >= LARGE_SHARE * capacity.cpuMillicores();
            if (large
                    && candidate.suspicion() == 0
                    && step.reservation().fitsIn(capacity)
                    && Placement.isSuitable(demand, candidate, sameStepCount)) {
                long atMillis = fitsAtMillis(step, candidate, nowMillis);
                if (atMillis <= nowMillis + MAX_AHEAD_MILLIS
                        && (best == null || atMillis < best.atMillis())) {
                    best = new Hold<>(candidate, atMillis);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns when enough tasks of a worker are expected to have ended. */
    private static long fitsAtMillis(StepSpec step, Candidate candidate, long nowMillis) {
        Resources free = candidate.free();
        if (step.reservation().fitsIn(free)) {
            return nowMillis;
        }
        List<Release> releases = new ArrayList<>(candidate.releases());
        releases.sort(Comparator.comparingLong(Release::atMillis));
        for (Release release : releases) {
            free = free.plus(release.size());
            if (step.reservation().fitsIn(free)) {
                return Math.max(nowMillis, release.atMillis());
            }
        }
        return Long.MAX_VALUE;
    }

    /**
     * Returns whether a task that starts now is expected to have ended at a time, also if it takes
     * longer than estimated.
     *
     * @param step step of the task
     * @param nowMillis monotonic time
     * @param atMillis monotonic time at which its room is needed
     * @return false for a task that runs until it is cancelled
     */
    public static boolean endsBefore(StepSpec step, long nowMillis, long atMillis) {
        return !step.longRunning()
                && nowMillis + BACKFILL_MARGIN * step.estimateMillis() <= atMillis;
    }
}
