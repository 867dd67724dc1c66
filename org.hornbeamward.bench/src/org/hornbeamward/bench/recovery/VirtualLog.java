package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;

/** The control stream: encoded records by offset, with outages. */
final class VirtualLog {
    private final List<byte[]> mRecords = new ArrayList<>();
    private long mByteCount;

    /** One way between a member and the log, with the time that the log needs. */
    long mAppendNanos = 5_000_000;

    boolean mUp = true;

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
