package org.hornbeamward.storage.log;

import java.util.List;

/**
 * The answer to one read.
 *
 * @param earliestOffset oldest offset that can be read
 * @param endOffset offset of the next record to be appended
 * @param records records from the offset asked for, in order
 */
public record LogRead(long earliestOffset, long endOffset, List<LogRecord> records) {

    /** Copies the list of records. */
    public LogRead {
        records = List.copyOf(records);
    }

    /**
     * Returns the offset from which reading continues.
     *
     * @param fromOffset the offset asked for
     * @return one after the last record, or the offset asked for if there is none
     */
    public long nextOffset(long fromOffset) {
        return records.isEmpty() ? fromOffset : records.get(records.size() - 1).offset() + 1;
    }
}
