package org.hornbeamward.transport.link;

import io.vavr.control.Either;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.transport.message.Message;

/** A connection that carries messages to and from another process. Thread-safe. */
public interface Link {
    /**
     * Queues a message for sending, without blocking. A message may be lost; those that arrive keep
     * their order.
     *
     * @param message the message
     * @return nothing if the message was queued; {@code PeerUnreachable} if the link is closed,
     *     {@code RingFull} if too many bytes are queued, {@code OversizedInput} if the message is
     *     larger than a frame may be
     */
    Either<HornbeamwardError, Void> send(Message message);

    /**
     * Returns the address of the peer.
     *
     * @return host and port
     */
    String peerAddress();

    /** Closes the connection. */
    void close();
}
