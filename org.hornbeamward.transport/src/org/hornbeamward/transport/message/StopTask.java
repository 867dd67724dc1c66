package org.hornbeamward.transport.message;

import org.hornbeamward.lib.TaskId;

/**
 * Stops a placement. A worker that does not know the token refuses every later start of the task
 * with this or an older token, and reports the placement as ended with outcome {@code LOST}.
 *
 * @param epoch membership epoch of the sender
 * @param task the task
 * @param token fencing token of the placement
 * @param noticeMillis time that the task is given to end by itself, 0 for none
 */
public record StopTask(long epoch, TaskId task, long token, long noticeMillis)
        implements WorkerMessage {}
