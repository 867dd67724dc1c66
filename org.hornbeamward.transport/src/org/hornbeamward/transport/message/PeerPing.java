package org.hornbeamward.transport.message;

import org.hornbeamward.lib.InstanceId;

/**
 * Heartbeat from one member to another.
 *
 * @param instance the sender
 * @param incarnation incarnation of the sender
 * @param ticketNanos reading of the sender's monotonic clock, returned in the {@link PeerPong}
 * @param logOffset offset of the next log record that the sender will read
 */
public record PeerPing(InstanceId instance, long incarnation, long ticketNanos, long logOffset)
        implements PeerMessage {}
