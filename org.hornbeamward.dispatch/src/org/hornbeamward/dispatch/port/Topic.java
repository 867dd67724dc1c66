package org.hornbeamward.dispatch.port;

/** The keyed topics of the store. Each retains the newest record of every key indefinitely. */
public enum Topic {
    /** Submissions and cancellations; written by every entry. */
    JOBS,
    /** Progress of jobs; written by the leader only. */
    PROGRESS,
    /** The entry that leads; written by conditional append. */
    LEADER,
    /** Duties that the system reports to operators. */
    STATUS,
    /** Configuration and requests of operators; read only. */
    OPERATOR,
    /** The workers' own entries; read only. */
    WORKERS
}
