package org.hornbeamward.transport.link;

import java.util.concurrent.atomic.LongAdder;

/** Counts the traffic of one or more links. Bytes include the length prefix, not TCP headers. */
public final class LinkCounters {
    final LongAdder mMessagesIn = new LongAdder();
    final LongAdder mMessagesOut = new LongAdder();
    final LongAdder mBytesIn = new LongAdder();
    final LongAdder mBytesOut = new LongAdder();
    final LongAdder mDropped = new LongAdder();
    final LongAdder mMalformed = new LongAdder();

    /** Creates counters at zero. */
    public LinkCounters() {}

    /**
     * Returns the messages received.
     *
     * @return their number
     */
    public long messagesInCount() {
        return mMessagesIn.sum();
    }

    /**
     * Returns the messages queued for sending.
     *
     * @return their number
     */
    public long messagesOutCount() {
        return mMessagesOut.sum();
    }

    /**
     * Returns the size of the messages received.
     *
     * @return bytes
     */
    public long bytesIn() {
        return mBytesIn.sum();
    }

    /**
     * Returns the size of the messages queued for sending.
     *
     * @return bytes
     */
    public long bytesOut() {
        return mBytesOut.sum();
    }

    /**
     * Returns the messages that could not be sent.
     *
     * @return their number
     */
    public long droppedCount() {
        return mDropped.sum();
    }

    /**
     * Returns the frames that were no message or exceeded the limit.
     *
     * @return their number
     */
    public long malformedCount() {
        return mMalformed.sum();
    }
}
