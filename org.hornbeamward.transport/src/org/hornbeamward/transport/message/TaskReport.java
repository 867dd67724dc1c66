package org.hornbeamward.transport.message;

import org.hornbeamward.command.TaskOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Reports an event of a placement.
 *
 * @param token fencing token of the placement
 * @param event what happened
 * @param outcome how the placement ended; null unless the event is {@code ENDED}
 * @param checkpoint last checkpoint, 0 if none
 */
public record TaskReport(
        long token, TaskEvent event, @Nullable TaskOutcome outcome, long checkpoint)
        implements WorkerMessage {}
