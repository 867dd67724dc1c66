package org.hornbeamward.state;

/** How a task ended for good. The order is part of the snapshot format. */
public enum TaskResult {
    /** Completed its work. */
    FINISHED,
    /** Failed on several workers. */
    FAILED,
    /** Its job was cancelled. */
    CANCELLED
}
