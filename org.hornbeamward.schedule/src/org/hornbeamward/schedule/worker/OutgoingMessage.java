package org.hornbeamward.schedule.worker;

import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.transport.message.WorkerMessage;

/**
 * A message to send to a worker.
 *
 * @param worker the recipient
 * @param message message to send
 */
public record OutgoingMessage(WorkerId worker, WorkerMessage message) {}
