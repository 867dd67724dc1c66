package org.hornbeamward.command;

import org.hornbeamward.lib.TaskId;

/**
 * Records a newer checkpoint of a running task.
 *
 * @param task the task
 * @param token fencing token of its placement
 * @param checkpoint number of the checkpoint, increasing
 */
public record RecordCheckpoint(TaskId task, long token, long checkpoint) implements Command {}
