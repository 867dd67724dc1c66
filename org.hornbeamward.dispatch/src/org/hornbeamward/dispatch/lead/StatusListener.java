package org.hornbeamward.dispatch.lead;

import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.lib.JobId;

/** Receives the job states that may be reported to callers. */
public interface StatusListener {
    /**
     * A phase of a job was committed or loaded.
     *
     * @param submission submission of the job
     * @param phase phase that is committed to the store
     */
    void phaseChanged(Submission submission, JobPhase phase);

    /**
     * An ended job was removed because its state need not be available any longer.
     *
     * @param job id of the removed job
     */
    void jobRemoved(JobId job);

    /** The phases of all stored jobs have been reported. */
    void allPhasesReported();
}
