package org.hornbeamward.command;

/** The kind of a job. The order is part of the record format. */
public enum JobKind {
    /** Runs until cancelled and answers within an agreed period. */
    SERVICE,
    /** Runs until it has finished. */
    BATCH
}
