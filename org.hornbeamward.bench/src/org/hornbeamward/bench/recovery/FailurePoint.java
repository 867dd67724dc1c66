package org.hornbeamward.bench.recovery;

/** Steps between a decision and the end of a task at which a member can die. */
enum FailurePoint {
    /** The decider has a placement ready to send to the log. */
    BEFORE_APPEND,
    /** The placement is in the log and its author has not read it. */
    AFTER_APPEND,
    /** The supervisor has sent the start to the worker. */
    AFTER_START,
    /** The worker has sent a report that the supervisor has not received. */
    AFTER_REPORT,
    /** The end of a task is on its way to the log and is lost with its author. */
    BEFORE_END_APPEND,
    /** The end of a task is in the log and the worker has no acknowledgement. */
    BEFORE_ACKNOWLEDGEMENT
}
