package org.hornbeamward.bench.recovery;

/** Steps between a decision and the end of a task at which a member can die. */
enum FailurePoint {
    /** The decider has a placement ready to send to the log. */
    BEFORE_APPEND,
    /** The placement is in the log, but its author has not read it back. */
    AFTER_APPEND,
    /** The supervisor has sent the start order to the worker. */
    AFTER_START,
    /** The worker has sent a report that the supervisor has not received. */
    AFTER_REPORT,
    /** The append of the end of a task is in flight and is lost with its author. */
    BEFORE_END_APPEND,
    /** The end of a task is in the log, but the worker has not received the acknowledgement. */
    BEFORE_ACKNOWLEDGEMENT
}
