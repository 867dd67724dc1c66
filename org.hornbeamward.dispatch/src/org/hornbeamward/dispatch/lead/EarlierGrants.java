package org.hornbeamward.dispatch.lead;

import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.port.KeyedRecord;

/**
 * How long the leaders before a leader may renew leases, which that leader stores in the progress
 * topic. Without it, each of several leaders that follow each other quickly would have to assume
 * that the ones before its predecessor have just been fenced. Like a {@link LeaseBound} it holds a
 * remaining time, since no two instances share a clock.
 *
 * @param epoch epoch of the leader that wrote the record
 * @param remainingMillis time after which no leader before it renews leases, counted from the
 *     writing
 */
record EarlierGrants(long epoch, long remainingMillis) {
    /** Key of the record. */
    static final String KEY = "grants";

    private static final int FIELD_COUNT = 2;

    KeyedRecord toRecord() {
        return new KeyedRecord(
                KEY,
                new Writer().array(FIELD_COUNT).integer(epoch).integer(remainingMillis).toBytes());
    }

    /**
     * Decodes the value of a record.
     *
     * @throws Reader.MalformedInputException if the bytes are not such a record
     */
    static EarlierGrants decode(byte[] bytes) {
        Reader reader = new Reader(bytes);
        reader.array(FIELD_COUNT);
        return new EarlierGrants(reader.integer(), reader.integer());
    }
}
