package org.hornbeamward.dispatch.config;

import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;

/** Encodes the configuration of a queue without its name, which is stored beside it. */
public final class QueueCodec {
    /**
     * Largest encoded configuration. Callers name host and prefix in the first lines of each
     * request, of which a server takes some thousand bytes, so that longer ones cannot be used.
     */
    public static final int MAX_BYTES = 2_048;

    private static final int FIELD_COUNT = 10;

    /** Largest factor of the objective, so that no deadline overflows. */
    private static final double MAX_SLACK_FACTOR = 1e6;

    /** Longest time of an objective or an approval, so that no deadline overflows: 9999 years. */
    private static final long MAX_MILLIS = 1L << 48;

    private QueueCodec() {}

    /**
     * Encodes a queue.
     *
     * @param queue the queue
     * @return the bytes, which may be more than {@link #MAX_BYTES}
     */
    public static byte[] encode(QueueConfig queue) {
        return new Writer()
                .array(FIELD_COUNT)
                .text(queue.host())
                .text(queue.pathPrefix())
                .text(queue.pool())
                .integer(queue.priority())
                .integer(queue.attemptLimit())
                .number(queue.slackFactor())
                .integer(queue.objectiveMillis())
                .bool(queue.openToAll())
                .bool(queue.approvalRequired())
                .integer(queue.approvalValidMillis())
                .toBytes();
    }

    /**
     * Decodes a queue. Fields that a later version may add at the end are ignored.
     *
     * @param name name of the queue
     * @param bytes the bytes
     * @return the queue
     * @throws Reader.MalformedInputException if the bytes are no queue
     */
    public static QueueConfig decode(String name, byte[] bytes) {
        Reader reader = new Reader(bytes);
        int fieldCount = reader.array();
        if (fieldCount < FIELD_COUNT) {
            throw reader.malformed("a queue has no " + fieldCount + " fields");
        }
        QueueConfig queue =
                new QueueConfig(
                        name,
                        reader.text(),
                        reader.text(),
                        reader.text(),
                        reader.int32(),
                        reader.int32(),
                        reader.number(),
                        reader.integer(),
                        reader.bool(),
                        reader.bool(),
                        reader.integer());
        boolean inRange =
                queue.attemptLimit() >= 1
                        && queue.slackFactor() >= 0
                        && queue.slackFactor() <= MAX_SLACK_FACTOR
                        && queue.objectiveMillis() >= 0
                        && queue.objectiveMillis() <= MAX_MILLIS;
        if (!inRange) {
            throw reader.malformed("a value of queue " + name + " is out of range");
        }
        return queue;
    }
}
