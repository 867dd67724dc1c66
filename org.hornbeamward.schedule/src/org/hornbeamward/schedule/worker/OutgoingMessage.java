package org.hornbeamward.schedule.worker;

import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.transport.message.WorkerMessage;

/**
 * A message to be sent to a worker.
 *
 * @param worker the worker
 * @param message the message
 */
public record OutgoingMessage(WorkerId worker, WorkerMessage message) {}
