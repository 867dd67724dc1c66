package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;

/** Simulated control stream: encoded records by offset, with outages. */
final class VirtualLog {
    private final List<byte[]> mRecords = new ArrayList<>();
    private long mByteCount;

    /** One-way delay between a member and the log, including the log's processing time. */
    long mOneWayNanos = 5_000_000;

    boolean mAvailable = true;

    void append(byte[] record) {
        mRecords.add(record);
        mByteCount += record.length;
    }

    int size() {
        return mRecords.size();
    }

    byte[] record(long offset) {
        return mRecords.get((int) offset);
    }

    long byteCount() {
        return mByteCount;
    }
}
