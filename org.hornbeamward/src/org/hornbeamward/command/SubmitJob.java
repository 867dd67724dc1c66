package org.hornbeamward.command;

/**
 * Submits a job; its tasks become pending.
 *
 * @param commandId unique id of the caller's command
 * @param job its declaration
 */
public record SubmitJob(String commandId, JobSpec job) implements IdentifiedCommand {}
