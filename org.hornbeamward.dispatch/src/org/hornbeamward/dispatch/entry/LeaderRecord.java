package org.hornbeamward.dispatch.entry;

import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;

/**
 * A record of the leader topic: the entry that leads, or that has resigned.
 *
 * @param instance name of the instance
 * @param incarnation start time of the process, which distinguishes the incarnations of an instance
 * @param feedAddress host and port of its feed server
 * @param epoch its epoch: one more than the record's offset
 * @param resigned whether it has stopped leading, so that another entry may take over at once
 */
record LeaderRecord(
        String instance, long incarnation, String feedAddress, long epoch, boolean resigned) {
    /** The only key of the leader topic. */
    static final String KEY = "leader";

    private static final int FIELD_COUNT = 5;

    byte[] encode() {
        return new Writer()
                .array(FIELD_COUNT)
                .text(instance)
                .integer(incarnation)
                .text(feedAddress)
                .integer(epoch)
                .bool(resigned)
                .toBytes();
    }

    /**
     * Decodes a record.
     *
     * @throws Reader.MalformedInputException if the bytes are not a valid leader record
     */
    static LeaderRecord decode(byte[] bytes) {
        Reader reader = new Reader(bytes);
        reader.array(FIELD_COUNT);
        return new LeaderRecord(
                reader.text(), reader.integer(), reader.text(), reader.integer(), reader.bool());
    }
}
