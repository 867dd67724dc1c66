package org.hornbeamward.storage.log;

import java.util.List;

/**
 * Result of one read.
 *
 * @param earliestOffset earliest readable offset
 * @param endOffset offset of the next record to be appended
 * @param records records from the requested offset on, in order
 */
public record LogRead(long earliestOffset, long endOffset, List<LogRecord> records) {

    /** Copies the list of records. */
    public LogRead {
        records = List.copyOf(records);
    }

    /**
     * Returns the offset at which the next read starts.
     *
     * @param fromOffset the requested offset
     * @return the offset after the last record, or the requested offset if there are no records
     */
    public long nextOffset(long fromOffset) {
        return records.isEmpty() ? fromOffset : records.get(records.size() - 1).offset() + 1;
    }
}
