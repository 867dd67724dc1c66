package org.hornbeamward.dispatch.job;

import java.util.List;
import java.util.Optional;

/**
 * The specification of a job, as a caller submits it.
 *
 * @param payload opaque text that every task receives
 * @param steps the steps, numbered from 0
 * @param repeatCount number of occurrences; 0 to run the steps once, as soon as possible
 * @param firstDueWallMillis time of day at which the first occurrence is due, in Unix milliseconds
 * @param intervalMillis time between two occurrences
 */
public record JobSpec(
        String payload,
        List<StepSpec> steps,
        int repeatCount,
        long firstDueWallMillis,
        long intervalMillis) {

    /**
     * Largest number of tasks over all steps and occurrences. The progress of a job without long
     * checkpoints is stored in one call, which takes 1 MiB, and a task takes up to 220 bytes of it.
     */
    public static final int MAX_TASK_COUNT = 3_500;

    /** Latest time and longest interval: the end of the year 9999 in Unix milliseconds. */
    private static final long MAX_TIME_MILLIS = 253_402_300_799_999L;

    /** Copies the steps. */
    public JobSpec {
        steps = List.copyOf(steps);
    }

    /**
     * Returns why a job cannot be scheduled, whatever the state of the cluster is.
     *
     * @return the problem, or empty if the specification is valid
     */
    public Optional<String> problem() {
        if (steps.isEmpty()) {
            return Optional.of("the job has no steps");
        }
        if (repeatCount < 0 || intervalMillis < 0 || firstDueWallMillis < 0) {
            return Optional.of("the number of occurrences or a time is negative");
        }
        if (intervalMillis > MAX_TIME_MILLIS || firstDueWallMillis > MAX_TIME_MILLIS) {
            return Optional.of("a time is later than the year 9999");
        }
        long taskCount = 0;
        for (int number = 0; number < steps.size(); number++) {
            Optional<String> problem = steps.get(number).problem(number);
            if (problem.isPresent()) {
                return problem;
            }
            taskCount += steps.get(number).taskCount();
        }
        if (taskCount * occurrenceCount() > MAX_TASK_COUNT) {
            return Optional.of(
                    "the job has "
                            + taskCount * occurrenceCount()
                            + " tasks; split it into jobs of at most "
                            + MAX_TASK_COUNT);
        }
        return Optional.empty();
    }

    /**
     * Returns whether the job runs at set times.
     *
     * @return true if it has occurrences
     */
    public boolean timed() {
        return repeatCount > 0;
    }

    /**
     * Returns whether the job runs until it is cancelled.
     *
     * @return true if a step is long-running
     */
    public boolean longRunning() {
        return steps.stream().anyMatch(StepSpec::longRunning);
    }

    /**
     * Returns the number of occurrences.
     *
     * @return 1 for a job without set times
     */
    public int occurrenceCount() {
        return Math.max(1, repeatCount);
    }

    /**
     * Returns when an occurrence is due.
     *
     * @param occurrence its number from 0
     * @return Unix milliseconds; 0 for a job without set times
     */
    public long dueWallMillis(int occurrence) {
        return timed() ? firstDueWallMillis + occurrence * intervalMillis : 0;
    }

    /**
     * Returns when the newest occurrence that is due became due.
     *
     * @param nowWallMillis time of day in Unix milliseconds
     * @return Unix milliseconds; the time of the first occurrence if none is due yet
     */
    public long newestDueWallMillis(long nowWallMillis) {
        if (!timed() || intervalMillis <= 0 || nowWallMillis <= firstDueWallMillis) {
            return firstDueWallMillis;
        }
        long dueCount = (nowWallMillis - firstDueWallMillis) / intervalMillis;
        return firstDueWallMillis + Math.min(dueCount, repeatCount - 1L) * intervalMillis;
    }

    /**
     * Returns the estimated duration of the longest chain of dependent steps (the critical path).
     *
     * @return milliseconds
     */
    public long criticalPathMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int index = 0; index < steps.size(); index++) {
            long start = 0;
            for (int dependency : steps.get(index).dependencies()) {
                start = Math.max(start, ends[dependency]);
            }
            ends[index] = start + steps.get(index).estimateMillis();
            longest = Math.max(longest, ends[index]);
        }
        return longest;
    }
}
