package org.hornbeamward.dispatch.lead;

import io.vavr.control.Option;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.lib.WorkerId;

/**
 * A bound for the leases of a worker that does not answer, stored in the progress topic so that a
 * series of leaders waits for them only once. It holds a remaining time and not a point in time,
 * since no two instances share a clock: a reader counts it from its own reading, which is later. No
 * lease of the worker is renewed while its bound is stored.
 *
 * @param incarnationStartWallMillis start time of the worker's incarnation
 * @param remainingMillis time after which all leases have lapsed, counted from the writing
 */
record LeaseBound(long incarnationStartWallMillis, long remainingMillis) {
    private static final String KEY_PREFIX = "lease/";
    private static final int FIELD_COUNT = 2;

    /** Returns the id of the worker whose bound is stored under a key, if it is such a key. */
    static Option<WorkerId> parseKey(String key) {
        return key.startsWith(KEY_PREFIX)
                ? WorkerId.parse(key.substring(KEY_PREFIX.length())).toOption()
                : Option.none();
    }

    /** Returns the record that removes the bound of a worker. */
    static KeyedRecord removal(WorkerId worker) {
        return new KeyedRecord(KEY_PREFIX + worker, null);
    }

    KeyedRecord toRecord(WorkerId worker) {
        byte[] value =
                new Writer()
                        .array(FIELD_COUNT)
                        .integer(incarnationStartWallMillis)
                        .integer(remainingMillis)
                        .toBytes();
        return new KeyedRecord(KEY_PREFIX + worker, value);
    }

    /**
     * Decodes the value of a record.
     *
     * @throws Reader.MalformedInputException if the bytes are not a lease bound
     */
    static LeaseBound decode(byte[] bytes) {
        Reader reader = new Reader(bytes);
        reader.array(FIELD_COUNT);
        return new LeaseBound(reader.integer(), reader.integer());
    }
}
