package org.hornbeamward.command;

import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/**
 * Places a pending task on a worker. The accepted command's token fences the start.
 *
 * @param task the task
 * @param worker the worker
 * @param workerIncarnation the worker's incarnation that the decision is based on
 */
public record PlaceTask(TaskId task, WorkerId worker, long workerIncarnation) implements Command {}
