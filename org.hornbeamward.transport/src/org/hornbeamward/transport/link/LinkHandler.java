package org.hornbeamward.transport.link;

import org.hornbeamward.transport.message.Message;

/** Receives what happens on links. Called on event loop threads; it must not block. */
public interface LinkHandler {
    /**
     * Called when a connection was made, before its first message.
     *
     * @param link the new link
     */
    default void onOpen(Link link) {}

    /**
     * Called with each message in order.
     *
     * @param link the link it came on
     * @param message the message
     */
    void onMessage(Link link, Message message);

    /**
     * Called once when the connection has ended, after its last message.
     *
     * @param link the closed link
     */
    default void onClosed(Link link) {}
}
