package org.hornbeamward.dispatch.lead;

import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.port.KeyedRecord;

/**
 * How long the leaders before a leader may renew leases, as far as that leader knows once it has
 * fenced them and before it has read their records. It is stored at once, so that a leader that
 * stops before it has loaded does not make its successor assume that the ones before it have just
 * been fenced. Once the leader has loaded, {@link EarlierGrants} replaces it.
 *
 * <p>Each leader has a key of its own: it writes the record before it has read those of the leaders
 * before it, which its successor may need.
 *
 * @param epoch epoch of the leader that wrote the record
 * @param remainingMillis time after which no leader before it renews leases, counted from the
 *     writing
 * @param formerEpoch epoch of the leader before it, if that one had certainly stopped; {@link
 *     #NOT_STOPPED} otherwise
 * @param formerStoppedAgoMillis time that had passed at the writing since that one had stopped
 */
record GrantsAtFencing(
        long epoch, long remainingMillis, long formerEpoch, long formerStoppedAgoMillis) {
    /** Value of {@link #formerEpoch} if the former leader is not known to have stopped. */
    static final long NOT_STOPPED = -1;

    private static final String KEY_PREFIX = EarlierGrants.KEY + "/";
    private static final int FIELD_COUNT = 4;

    /** Returns whether a key is that of such a record. */
    static boolean isKey(String key) {
        return key.startsWith(KEY_PREFIX);
    }

    /** Returns the key of the record of a leader. */
    static String key(long epoch) {
        return KEY_PREFIX + epoch;
    }

    /**
     * Returns the record of a leader that has fenced the ones before it.
     *
     * @param epoch its epoch
     * @param former what it knows of the former leader
     * @param grantsEndMillis monotonic time after which no leader before it renews leases
     * @param nowMillis the time on the same clock
     */
    static GrantsAtFencing of(
            long epoch, FormerLeader former, long grantsEndMillis, long nowMillis) {
        long remainingMillis = Math.max(0, grantsEndMillis - nowMillis);
        return former instanceof FormerLeader.Stopped stopped
                ? new GrantsAtFencing(
                        epoch,
                        remainingMillis,
                        stopped.epoch(),
                        nowMillis - stopped.stoppedMillis())
                : new GrantsAtFencing(epoch, remainingMillis, NOT_STOPPED, 0);
    }

    KeyedRecord toRecord() {
        byte[] value =
                new Writer()
                        .array(FIELD_COUNT)
                        .integer(epoch)
                        .integer(remainingMillis)
                        .integer(formerEpoch)
                        .integer(formerStoppedAgoMillis)
                        .toBytes();
        return new KeyedRecord(key(epoch), value);
    }

    /**
     * Decodes the value of a record.
     *
     * @throws Reader.MalformedInputException if the bytes are not such a record
     */
    static GrantsAtFencing decode(byte[] bytes) {
        Reader reader = new Reader(bytes);
        reader.array(FIELD_COUNT);
        return new GrantsAtFencing(
                reader.integer(), reader.integer(), reader.integer(), reader.integer());
    }
}
