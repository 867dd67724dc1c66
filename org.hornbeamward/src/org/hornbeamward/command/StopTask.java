package org.hornbeamward.command;

import org.hornbeamward.lib.TaskId;

/**
 * Requests that a placed task stops; it holds its resources until the placement has ended.
 *
 * @param task the task
 * @param token fencing token of its placement
 * @param reason why it is stopped
 */
public record StopTask(TaskId task, long token, StopReason reason) implements Command {}
