package org.hornbeamward.command;

/** How a placement ended. The order of the constants is part of the record format. */
public enum TaskOutcome {
    /** The task completed its work. */
    FINISHED,
    /** It was stopped after its last checkpoint. */
    STOPPED,
    /** The worker could not start it. */
    START_FAILED,
    /** It failed while running. */
    FAILED,
    /** The worker does not know the placement and will never start it. */
    LOST
}
