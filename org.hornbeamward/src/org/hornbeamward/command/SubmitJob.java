package org.hornbeamward.command;

/**
 * Queues a job.
 *
 * @param commandId unique id of the caller's command
 * @param job the job
 */
public record SubmitJob(String commandId, JobSpec job) implements IdentifiedCommand {}
