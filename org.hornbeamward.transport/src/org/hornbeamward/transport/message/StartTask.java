package org.hornbeamward.transport.message;

import org.hornbeamward.command.JobKind;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;

/**
 * Starts a placed task. The worker refuses it if the epoch, the incarnation, the token or the
 * ticket is too old.
 *
 * @param epoch membership epoch of the sender
 * @param incarnation incarnation of the worker that the task is placed on
 * @param task the task
 * @param token fencing token of the placement
 * @param ticketMillis start ticket, which is a reading of the worker's monotonic clock
 * @param resources resources that the task declares
 * @param checkpoint checkpoint to resume from, 0 for none
 * @param className class of work
 * @param kind whether the task belongs to a service or a batch job
 * @param expectedRunMillis declared run time of a batch task, 0 if unknown
 * @param agreedPeriodMillis period within which a service answers, 0 for batch
 */
public record StartTask(
        long epoch,
        long incarnation,
        TaskId task,
        long token,
        long ticketMillis,
        Resources resources,
        long checkpoint,
        String className,
        JobKind kind,
        long expectedRunMillis,
        long agreedPeriodMillis)
        implements WorkerMessage {}
