package org.hornbeamward.command;

/** The kind of a job. The order of the constants is part of the record format. */
public enum JobKind {
    /** Runs until cancelled and answers within an agreed period. */
    SERVICE,
    /** Runs until its tasks have finished. */
    BATCH
}
