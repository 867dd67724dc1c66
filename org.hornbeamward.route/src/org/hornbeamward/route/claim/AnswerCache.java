package org.hornbeamward.route.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the outcomes of requests that this instance claimed, by the sequence number of the claim.
 * The cache is bounded in bytes and in age and evicts the oldest entry first; a repeat of an
 * evicted request is answered as unknown. Not thread-safe.
 */
final class AnswerCache {
    /** Memory of an entry without its response header fields and body. */
    private static final int ENTRY_OVERHEAD_BYTES = 256;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long mMaxBytes;
    private final Map<Long, RequestOutcome> mOutcomes = new HashMap<>();
    private final Deque<Entry> mInsertionOrder = new ArrayDeque<>();
    private long mTotalBytes;

    AnswerCache(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    void put(long sequence, RequestOutcome outcome, long nowNanos) {
        int bytes = ENTRY_OVERHEAD_BYTES;
        if (outcome instanceof RequestOutcome.Answered answered) {
            bytes += answered.reply().body().length;
            bytes +=
                    answered.reply().headers().entrySet().stream()
                            .mapToInt(field -> field.getKey().length() + field.getValue().length())
                            .sum();
        }
        mOutcomes.put(sequence, outcome);
        mInsertionOrder.addLast(new Entry(sequence, bytes, nowNanos));
        mTotalBytes += bytes;
        long retentionNanos = ClaimTable.KEY_RETENTION_MILLIS * NANOS_PER_MILLI;
        while (!mInsertionOrder.isEmpty()
                && (mTotalBytes > mMaxBytes
                        || nowNanos - mInsertionOrder.getFirst().insertedNanos()
                                > retentionNanos)) {
            Entry oldest = mInsertionOrder.removeFirst();
            mOutcomes.remove(oldest.sequence());
            mTotalBytes -= oldest.bytes();
        }
    }

    Optional<RequestOutcome> find(long sequence) {
        return Optional.ofNullable(mOutcomes.get(sequence));
    }

    private record Entry(long sequence, int bytes, long insertedNanos) {}
}
