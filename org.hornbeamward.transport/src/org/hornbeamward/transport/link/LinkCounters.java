package org.hornbeamward.transport.link;

import java.util.concurrent.atomic.LongAdder;

/** Traffic counters of one or more links. Bytes include the length prefix but no TCP headers. */
public final class LinkCounters {
    final LongAdder mMessagesIn = new LongAdder();
    final LongAdder mMessagesOut = new LongAdder();
    final LongAdder mBytesIn = new LongAdder();
    final LongAdder mBytesOut = new LongAdder();
    final LongAdder mDropped = new LongAdder();
    final LongAdder mMalformed = new LongAdder();

    /** Creates counters that start at zero. */
    public LinkCounters() {}

    /**
     * Returns the number of messages received.
     *
     * @return number of messages
     */
    public long messagesInCount() {
        return mMessagesIn.sum();
    }

    /**
     * Returns the number of messages queued for sending.
     *
     * @return number of messages
     */
    public long messagesOutCount() {
        return mMessagesOut.sum();
    }

    /**
     * Returns the total size of the messages received.
     *
     * @return size in bytes
     */
    public long bytesIn() {
        return mBytesIn.sum();
    }

    /**
     * Returns the total size of the messages queued for sending.
     *
     * @return size in bytes
     */
    public long bytesOut() {
        return mBytesOut.sum();
    }

    /**
     * Returns the number of messages that could not be queued for sending.
     *
     * @return number of messages
     */
    public long droppedCount() {
        return mDropped.sum();
    }

    /**
     * Returns the number of frames that could not be decoded or were longer than the limit.
     *
     * @return number of frames
     */
    public long malformedCount() {
        return mMalformed.sum();
    }
}
