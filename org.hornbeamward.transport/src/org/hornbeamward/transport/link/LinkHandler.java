package org.hornbeamward.transport.link;

import org.hornbeamward.transport.message.Message;

/** Receives the events of links. It is called on event loop threads and must not block. */
public interface LinkHandler {
    /**
     * Called when a connection is established, before its first message.
     *
     * @param link the new link
     */
    default void onOpen(Link link) {}

    /**
     * Called for each message, in the order of arrival.
     *
     * @param link the link that received the message
     * @param message the message
     */
    void onMessage(Link link, Message message);

    /**
     * Called once when the connection is closed, after its last message.
     *
     * @param link the closed link
     */
    default void onClosed(Link link) {}
}
