package org.hornbeamward.transport.message;

import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.TaskId;

/**
 * A placement that has ended and whose end is not yet acknowledged.
 *
 * @param task the task
 * @param token fencing token of the placement
 * @param outcome how the placement ended
 * @param checkpoint last checkpoint, 0 if none
 */
public record EndedTask(TaskId task, long token, TaskOutcome outcome, long checkpoint) {}
