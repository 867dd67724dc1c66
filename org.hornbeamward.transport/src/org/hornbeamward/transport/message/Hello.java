package org.hornbeamward.transport.message;

import org.hornbeamward.lib.InstanceId;

/**
 * Opens the session of a supervisor with a worker. The worker answers with {@link WorkerStatus}.
 *
 * @param epoch membership epoch of the sender
 * @param instance instance of the supervisor
 */
public record Hello(long epoch, InstanceId instance) implements WorkerMessage {}
