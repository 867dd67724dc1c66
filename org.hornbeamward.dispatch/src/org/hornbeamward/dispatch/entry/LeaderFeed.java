package org.hornbeamward.dispatch.entry;

/** The feed of messages from the leader to this entry. */
interface LeaderFeed {
    /** Receives messages and connection failures. */
    interface Receiver {
        /**
         * Handles a message.
         *
         * @param message message from the leader
         */
        void received(FeedMessage message);

        /** The connection was lost or could not be established; the feed connects again. */
        void disconnected();
    }

    /**
     * Connects to a leader and drops the connection to the previous one.
     *
     * @param address host and port of the leader's feed server
     * @param receiver receives the messages
     */
    void follow(String address, Receiver receiver);

    /** Drops the connection to the leader. */
    void unfollow();
}
