package org.hornbeamward.route.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Outcomes of this instance's claims, by the number of the claim. Holds a bounded number of bytes
 * for a bounded time and drops the oldest first; a dropped outcome is answered as unknown. Not
 * thread-safe.
 */
final class AnswerCache {
    /** Memory of an entry besides its body. */
    private static final int ENTRY_BYTES = 256;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long mMaxBytes;
    private final Map<Long, RequestOutcome> mOutcomes = new HashMap<>();
    private final Deque<Entry> mOrder = new ArrayDeque<>();
    private long mBytes;

    AnswerCache(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    void put(long sequence, RequestOutcome outcome, long nowNanos) {
        int bytes = ENTRY_BYTES;
        if (outcome instanceof RequestOutcome.Answered answered) {
            bytes += answered.reply().body().length;
            bytes +=
                    answered.reply().headers().entrySet().stream()
                            .mapToInt(field -> field.getKey().length() + field.getValue().length())
                            .sum();
        }
        mOutcomes.put(sequence, outcome);
        mOrder.addLast(new Entry(sequence, bytes, nowNanos));
        mBytes += bytes;
        long keepNanos = ClaimTable.KEEP_MILLIS * NANOS_PER_MILLI;
        while (!mOrder.isEmpty()
                && (mBytes > mMaxBytes || nowNanos - mOrder.getFirst().atNanos() > keepNanos)) {
            Entry oldest = mOrder.removeFirst();
            mOutcomes.remove(oldest.sequence());
            mBytes -= oldest.bytes();
        }
    }

    Optional<RequestOutcome> find(long sequence) {
        return Optional.ofNullable(mOutcomes.get(sequence));
    }

    private record Entry(long sequence, int bytes, long atNanos) {}
}
