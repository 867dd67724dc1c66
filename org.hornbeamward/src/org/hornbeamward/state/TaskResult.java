package org.hornbeamward.state;

/** The final result of a task. The order of the constants is part of the snapshot format. */
public enum TaskResult {
    /** Completed its work. */
    FINISHED,
    /** Failed on several workers. */
    FAILED,
    /** Its job was cancelled. */
    CANCELLED
}
