package org.hornbeamward.transport.message;

import org.hornbeamward.lib.InstanceId;

/**
 * Answers a {@link PeerPing}.
 *
 * @param instance the sender of this message
 * @param incarnation incarnation of the sender
 * @param ticketNanos value of {@code ticketNanos} in the ping
 * @param promise true if the sender does not suspect the member that sent the ping
 * @param logOffset offset of the next log record that the sender will read
 */
public record PeerPong(
        InstanceId instance, long incarnation, long ticketNanos, boolean promise, long logOffset)
        implements PeerMessage {}
