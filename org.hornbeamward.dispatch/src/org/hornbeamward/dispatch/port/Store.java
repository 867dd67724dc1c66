package org.hornbeamward.dispatch.port;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store: keyed logs with conditional appends and fenced producers. Futures never
 * complete exceptionally; errors are returned as values. They complete on the event loop.
 */
public interface Store {
    /**
     * Largest total size of the values and keys of one append in bytes; half of what the store
     * takes in one call.
     */
    int MAX_APPEND_BYTES = 1024 * 1024;

    /** Largest size of a record in bytes: the length of the key, which takes one, key and value. */
    int MAX_RECORD_BYTES = 256 * 1024;

    /**
     * Splits records into batches that the store takes in one call each. Parts of a value that
     * follow each other ({@link ValueParts}) stay in one batch.
     *
     * @param records records in the order in which they are to be appended
     * @return at least one batch; the concatenated batches are the records
     */
    static List<List<KeyedRecord>> splitForAppend(List<KeyedRecord> records) {
        List<List<KeyedRecord>> batches = new ArrayList<>();
        List<KeyedRecord> batch = new ArrayList<>();
        int byteCount = 0;
        int start = 0;
        while (start < records.size()) {
            int end = ValueParts.endOfParts(records, start);
            List<KeyedRecord> parts = records.subList(start, end);
            int partsByteCount = parts.stream().mapToInt(KeyedRecord::byteCount).sum();
            if (!batch.isEmpty() && byteCount + partsByteCount > MAX_APPEND_BYTES) {
                batches.add(batch);
                batch = new ArrayList<>();
                byteCount = 0;
            }
            batch.addAll(parts);
            byteCount += partsByteCount;
            start = end;
        }
        batches.add(batch);
        return batches;
    }

    /** The condition under which an append takes effect. */
    sealed interface Condition {
        /** No condition. */
        record Always() implements Condition {}

        /**
         * The topic must end at an offset.
         *
         * @param offset the expected end
         */
        record EndsAt(long offset) implements Condition {}

        /**
         * The store must not have seen a higher epoch of the producer, and the sequence must follow
         * the last one.
         *
         * @param producer name of the producer
         * @param epoch epoch of the producer
         * @param sequence number of this append in the epoch
         */
        record Fenced(String producer, long epoch, long sequence) implements Condition {}
    }

    /** The outcome of an append. */
    sealed interface AppendOutcome {
        /**
         * It took effect.
         *
         * @param offset offset of the first record
         */
        record Appended(long offset) implements AppendOutcome {}

        /** A higher epoch of the producer exists. */
        record Deposed() implements AppendOutcome {}

        /**
         * The topic does not end at the expected offset.
         *
         * @param endOffset actual end offset of the topic
         */
        record EndMoved(long endOffset) implements AppendOutcome {}

        /**
         * The sequence does not follow the last one.
         *
         * @param expectedSequence the next valid sequence
         */
        record OutOfSequence(long expectedSequence) implements AppendOutcome {}

        /**
         * The append was refused and had no effect.
         *
         * @param reason why
         */
        record Refused(String reason) implements AppendOutcome {}

        /**
         * The outcome is unknown: the append may have taken effect or may still do so.
         *
         * @param reason why
         */
        record Unknown(String reason) implements AppendOutcome {}
    }

    /** The outcome of a read. */
    sealed interface ReadOutcome {
        /**
         * Records from the requested offset on.
         *
         * @param records the records in order, possibly none
         * @param endOffset end of the topic
         */
        record Records(List<KeyedRecord> records, long endOffset) implements ReadOutcome {}

        /** The requested records are no longer retained. */
        record HistoryGone() implements ReadOutcome {}

        /**
         * Nothing could be read.
         *
         * @param reason why
         */
        record Unavailable(String reason) implements ReadOutcome {}
    }

    /** The outcome of reading a page of the newest records. */
    sealed interface NewestOutcome {
        /**
         * A page.
         *
         * @param records the newest record of each key, in the order of the keys
         * @param more whether keys follow after the last one
         * @param endOffset end of the topic when the page was read
         */
        record Page(List<KeyedRecord> records, boolean more, long endOffset)
                implements NewestOutcome {}

        /**
         * Nothing could be read.
         *
         * @param reason why
         */
        record Unavailable(String reason) implements NewestOutcome {}
    }

    /**
     * Appends records atomically. Without records, a fenced append only sets the epoch.
     *
     * @param topic topic to append to
     * @param records records to append
     * @param condition condition under which the append takes effect
     * @param timeoutMillis how long to wait for the answer
     * @return whether the append took effect
     */
    CompletableFuture<AppendOutcome> append(
            Topic topic, List<KeyedRecord> records, Condition condition, long timeoutMillis);

    /**
     * Reads records.
     *
     * @param topic topic to read
     * @param fromOffset first offset
     * @param waitMillis how long the store waits for a record if there is none
     * @param timeoutMillis how long to wait for the answer, including the store's wait
     * @return the records, or why they cannot be read
     */
    CompletableFuture<ReadOutcome> read(
            Topic topic, long fromOffset, long waitMillis, long timeoutMillis);

    /**
     * Reads a page of the newest records.
     *
     * @param topic topic to read
     * @param afterKey last key of the page before; empty for the first page
     * @param timeoutMillis how long to wait for the answer
     * @return the page, or why it cannot be read
     */
    CompletableFuture<NewestOutcome> newest(Topic topic, String afterKey, long timeoutMillis);
}
