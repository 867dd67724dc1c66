package org.hornbeamward.transport.message;

import org.hornbeamward.lib.InstanceId;

/**
 * Opens a supervisor's session with a worker, which answers with {@link WorkerStatus}.
 *
 * @param epoch membership epoch of the sender
 * @param instance the supervisor
 */
public record Hello(long epoch, InstanceId instance) implements WorkerMessage {}
