package org.hornbeamward.dispatch.job;

import java.util.List;

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

    /** Copies the steps. */
    public JobSpec {
        steps = List.copyOf(steps);
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
