package org.hornbeamward.standin.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.hornbeamward.storage.log.LogRead;
import org.hornbeamward.storage.log.LogRecord;

/** In-memory stream. Not thread-safe. */
final class StreamStore {
    private final Map<Long, byte[]> mRecords = new HashMap<>();
    private final List<ReadWaiter> mWaiters = new ArrayList<>();
    private long mEarliestOffset;
    private long mEndOffset;

    long append(byte[] record, int retainCount) {
        long offset = mEndOffset++;
        mRecords.put(offset, record);
        trim(retainCount);
        return offset;
    }

    void trim(int retainCount) {
        while (mEndOffset - mEarliestOffset > retainCount) {
            mRecords.remove(mEarliestOffset++);
        }
    }

    long earliestOffset() {
        return mEarliestOffset;
    }

    long endOffset() {
        return mEndOffset;
    }

    LogRead read(long fromOffset, long maxBytes) {
        List<LogRecord> records = new ArrayList<>();
        long sizeBytes = 0;
        for (long offset = fromOffset; offset < mEndOffset; offset++) {
            byte[] bytes = mRecords.getOrDefault(offset, new byte[0]);
            sizeBytes += bytes.length;
            if (!records.isEmpty() && sizeBytes > maxBytes) {
                break;
            }
            records.add(new LogRecord(offset, bytes));
        }
        return new LogRead(mEarliestOffset, mEndOffset, records);
    }

    void addWaiter(ReadWaiter waiter) {
        mWaiters.add(waiter);
    }

    void removeWaiter(ReadWaiter waiter) {
        mWaiters.remove(waiter);
    }

    /** Removes and returns the waiters whose offset can be read or is no longer retained. */
    List<ReadWaiter> takeReadyWaiters() {
        return removeWaitersUpTo(mEndOffset - 1);
    }

    List<ReadWaiter> takeAllWaiters() {
        return removeWaitersUpTo(Long.MAX_VALUE);
    }

    private List<ReadWaiter> removeWaitersUpTo(long highestOffset) {
        List<ReadWaiter> removed = new ArrayList<>();
        for (Iterator<ReadWaiter> it = mWaiters.iterator(); it.hasNext(); ) {
            ReadWaiter waiter = it.next();
            if (waiter.fromOffset() <= highestOffset) {
                it.remove();
                removed.add(waiter);
            }
        }
        return removed;
    }
}
