package org.hornbeamward.command;

import org.hornbeamward.lib.JobId;

/**
 * Ends a job that can never run.
 *
 * @param job the job
 * @param reason why it cannot run, reported to its owner
 */
public record RejectJob(JobId job, String reason) implements Command {}
