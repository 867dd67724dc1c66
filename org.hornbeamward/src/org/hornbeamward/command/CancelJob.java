package org.hornbeamward.command;

import org.hornbeamward.lib.JobId;

/**
 * Cancels a job; its running tasks are stopped.
 *
 * @param commandId unique id of the caller's command
 * @param job the job
 */
public record CancelJob(String commandId, JobId job) implements IdentifiedCommand {}
