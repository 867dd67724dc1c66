package org.hornbeamward.transport.message;

import org.hornbeamward.lib.InstanceId;

/**
 * Heartbeat from one member to another.
 *
 * @param instance the sender
 * @param incarnation its incarnation
 * @param ticketNanos reading of the sender's monotonic clock
 * @param logOffset next offset that the sender will read
 */
public record PeerPing(InstanceId instance, long incarnation, long ticketNanos, long logOffset)
        implements PeerMessage {}
