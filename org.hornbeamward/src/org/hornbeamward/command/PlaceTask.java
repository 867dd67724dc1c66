package org.hornbeamward.command;

import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/**
 * Places a pending task on a worker. The token of the accepted command is the fencing token of the
 * placement.
 *
 * @param task the task
 * @param worker the worker
 * @param workerIncarnation incarnation of the worker on which the decision is based
 */
public record PlaceTask(TaskId task, WorkerId worker, long workerIncarnation) implements Command {}
