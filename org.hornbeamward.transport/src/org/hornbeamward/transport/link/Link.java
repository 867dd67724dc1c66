package org.hornbeamward.transport.link;

import io.vavr.control.Either;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.transport.message.Message;

/** One connection to another process. Safe for use by any thread. */
public interface Link {
    /**
     * Sends a message without waiting. Messages arrive in order or not at all.
     *
     * @param message the message
     * @return nothing if it was queued; {@code PeerUnreachable} if the link is closed, {@code
     *     RingFull} if too many bytes are queued, {@code OversizedInput} if it exceeds a frame
     */
    Either<HornbeamwardError, Void> send(Message message);

    /**
     * Returns the other side's address.
     *
     * @return host and port
     */
    String peerAddress();

    /** Closes the connection. */
    void close();
}
