package org.hornbeamward.transport.message;

import org.hornbeamward.lib.InstanceId;

/**
 * Answers a {@link PeerPing}.
 *
 * @param instance the sender of this answer
 * @param incarnation its incarnation
 * @param ticketNanos ticket of the ping
 * @param promise true if the sender does not suspect the asker
 * @param logOffset next offset that the sender will read
 */
public record PeerPong(
        InstanceId instance, long incarnation, long ticketNanos, boolean promise, long logOffset)
        implements PeerMessage {}
