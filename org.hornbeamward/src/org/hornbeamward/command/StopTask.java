package org.hornbeamward.command;

import org.hornbeamward.lib.TaskId;

/**
 * Starts stopping a placed task; its resources stay held until it has ended.
 *
 * @param task the task
 * @param token token of its placement
 * @param reason why
 */
public record StopTask(TaskId task, long token, StopReason reason) implements Command {}
