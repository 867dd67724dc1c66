package org.hornbeamward.schedule.policy;

/**
 * A step by which a policy reduces the effect of a batch task on a worker.
 *
 * @param kind which step is taken
 * @param task the batch task
 * @param throttlePercent percentage of its declared processors that it may use, for throttling
 */
public record Reduction(Kind kind, ResidentTask task, int throttlePercent) {
    /** Steps, in the order in which they are taken. */
    public enum Kind {
        /** Limits the task's processors; 100 lifts the limit. */
        THROTTLE,
        /** Requests a checkpoint before a stop. */
        CHECKPOINT,
        /** Stops the task; it resumes elsewhere from its checkpoint. */
        STOP
    }
}
