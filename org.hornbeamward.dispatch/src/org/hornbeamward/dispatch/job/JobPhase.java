package org.hornbeamward.dispatch.job;

/** The state of a job, as callers see it. */
public enum JobPhase {
    /** Accepted; no task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have ended successfully. */
    COMPLETED,
    /** A task has failed too often. */
    FAILED,
    /** A caller has cancelled it. */
    CANCELLED;

    /**
     * Returns whether the phase is final.
     *
     * @return true for completed, failed and cancelled
     */
    public boolean terminal() {
        return compareTo(COMPLETED) >= 0;
    }
}
