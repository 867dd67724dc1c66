package org.hornbeamward.transport.message;

import org.hornbeamward.lib.TaskId;

/**
 * A placement that a worker knows and that has not ended.
 *
 * @param task the task
 * @param token fencing token of the placement
 * @param stopping true if the stop of the task was requested
 * @param checkpoint last checkpoint, 0 if none
 */
public record RunningTask(TaskId task, long token, boolean stopping, long checkpoint) {}
