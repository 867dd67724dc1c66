package org.hornbeamward.schedule.policy;

/**
 * How a policy reduces batch work on a worker.
 *
 * @param kind what to do
 * @param task the batch task
 * @param throttlePercent share of its declared processors that it may use, for throttling
 */
public record Reduction(Kind kind, ResidentTask task, int throttlePercent) {
    /** Steps in the order in which they are tried. */
    public enum Kind {
        /** Limits the task's processors, or lifts the limit at 100. */
        THROTTLE,
        /** Asks for a checkpoint before a stop. */
        CHECKPOINT,
        /** Stops the task; it resumes elsewhere from its checkpoint. */
        STOP
    }
}
