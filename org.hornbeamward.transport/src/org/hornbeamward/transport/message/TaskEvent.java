package org.hornbeamward.transport.message;

/** The event in a {@link TaskReport}. The order of the constants is part of the wire format. */
public enum TaskEvent {
    /** The task has started. */
    STARTED,
    /** The task has written a checkpoint. */
    CHECKPOINTED,
    /** The task has ended and holds no resources. */
    ENDED
}
