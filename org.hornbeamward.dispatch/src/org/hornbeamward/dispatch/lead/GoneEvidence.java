package org.hornbeamward.dispatch.lead;

/** What shows that a run without a report of its end is no longer present or never started. */
enum GoneEvidence {
    /** The start order was withheld, or the connection for it was not made. */
    NOT_SENT,
    /** The worker rejected the start order. */
    REJECTED,
    /** An answer of the worker does not list it. */
    NOT_LISTED,
    /** Another worker answers at the address of the run's worker. */
    OTHER_WORKER,
    /** It ended with an earlier incarnation of its worker. */
    RESTARTED,
    /** All leases that its worker may have been granted have lapsed. */
    LEASES_LAPSED
}
