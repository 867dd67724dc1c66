package org.hornbeamward.standin.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.hornbeamward.storage.log.LogRead;
import org.hornbeamward.storage.log.LogRecord;

/** One stream in memory. Not safe for use by several threads. */
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

    /** Removes and returns the waiters whose offset can be read or is before retention. */
    List<ReadWaiter> takeReadyWaiters() {
        return takeWaiters(mEndOffset - 1);
    }

    List<ReadWaiter> takeAllWaiters() {
        return takeWaiters(Long.MAX_VALUE);
    }

    private List<ReadWaiter> takeWaiters(long highestOffset) {
        List<ReadWaiter> taken = new ArrayList<>();
        for (Iterator<ReadWaiter> it = mWaiters.iterator(); it.hasNext(); ) {
            ReadWaiter waiter = it.next();
            if (waiter.fromOffset() <= highestOffset) {
                it.remove();
                taken.add(waiter);
            }
        }
        return taken;
    }
}
