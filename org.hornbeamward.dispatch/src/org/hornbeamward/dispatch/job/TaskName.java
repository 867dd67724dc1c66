package org.hornbeamward.dispatch.job;

import org.hornbeamward.lib.JobId;

/**
 * The identity of one task of one occurrence of a job.
 *
 * @param job id of the job
 * @param occurrence number of the occurrence from 0
 * @param step number of the step from 0
 * @param index number of the task in its step from 0
 */
public record TaskName(JobId job, int occurrence, int step, int index) {
    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
