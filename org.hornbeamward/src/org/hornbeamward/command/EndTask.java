package org.hornbeamward.command;

import org.hornbeamward.lib.TaskId;

/**
 * Ends a placement and frees its resources.
 *
 * @param task the task
 * @param token fencing token of its placement
 * @param outcome how the placement ended
 * @param checkpoint number of the last checkpoint, 0 if none
 */
public record EndTask(TaskId task, long token, TaskOutcome outcome, long checkpoint)
        implements Command {}
