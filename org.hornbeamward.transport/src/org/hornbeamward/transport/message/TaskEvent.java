package org.hornbeamward.transport.message;

/** What a {@link TaskReport} tells. The order is part of the encoding. */
public enum TaskEvent {
    /** The task runs. */
    STARTED,
    /** The task wrote a checkpoint. */
    CHECKPOINTED,
    /** The task has ended and holds no resources. */
    ENDED
}
