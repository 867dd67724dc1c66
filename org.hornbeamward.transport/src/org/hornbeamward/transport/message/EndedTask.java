package org.hornbeamward.transport.message;

import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.TaskId;

/**
 * A placement that has ended and is not acknowledged.
 *
 * @param task the task
 * @param token token of its placement
 * @param outcome how it ended
 * @param checkpoint last checkpoint, 0 if none
 */
public record EndedTask(TaskId task, long token, TaskOutcome outcome, long checkpoint) {}
