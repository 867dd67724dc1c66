package org.hornbeamward.dispatch.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Store.AppendOutcome;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.event.LogEvent;

/**
 * Appends submissions and cancellations to the jobs topic. Records that arrive while an append is
 * in progress are batched into the next one. Appending a record twice is harmless, since its key
 * identifies the job. Runs on the loop.
 */
final class JobsWriter {
    /** Timeout of one append; the store answers in 8 ms, and at worst 60 times slower. */
    private static final long ANSWER_TIMEOUT_MILLIS = 500;

    /**
     * How long a record is retried after an append without an answer. Callers repeat a request of
     * unknown outcome at another entry, which may reach the store.
     */
    private static final long MAX_UNKNOWN_RETRY_MILLIS = 1_000;

    private static final long RETRY_DELAY_MILLIS = 60;

    /** How long a record that the store refuses is retried; callers can repeat the request. */
    private static final long MAX_REFUSED_RETRY_MILLIS = 300;

    /**
     * How long an append without an answer may still take effect. The platform's documentation says
     * seconds; orders to workers are carried out up to 12 s late.
     */
    private static final long LATE_APPEND_MILLIS = 15_000;

    private static final String STOPPED_REASON = "the process is ending";

    /** Outcome of storing a record. */
    sealed interface Outcome {
        /** The record is stored. */
        record Stored() implements Outcome {}

        /**
         * The record is not stored and never will be by this request.
         *
         * @param reason why
         */
        record NotStored(String reason) implements Outcome {}

        /**
         * The record may be stored already or may still become stored.
         *
         * @param reason why
         */
        record Unknown(String reason) implements Outcome {}
    }

    private static final class PendingRecord {
        private final KeyedRecord mRecord;
        private final long mArrivedMillis;
        private final long mDeadlineMillis;
        private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();
        private boolean mPossiblyStored;

        PendingRecord(KeyedRecord record, long arrivedMillis, long deadlineMillis) {
            mRecord = record;
            mArrivedMillis = arrivedMillis;
            mDeadlineMillis = deadlineMillis;
        }
    }

    private final Loop mLoop;
    private final Store mStore;
    private final List<PendingRecord> mPending = new ArrayList<>();
    private List<PendingRecord> mInFlight = List.of();

    /**
     * Keys whose last append got no answer, with the monotonic time after which that append can no
     * longer take effect. A repeated request for such a key must not be told that the record is not
     * stored.
     */
    private final Map<String, Long> mUnansweredUntilMillis = new LinkedHashMap<>();

    private boolean mBusy;
    private boolean mStopped;
    private boolean mAvailable = true;

    JobsWriter(Loop loop, Store store) {
        mLoop = loop;
        mStore = store;
    }

    /** Returns whether the store took the last append. */
    boolean isAvailable() {
        return mAvailable;
    }

    /**
     * Stores a record.
     *
     * @param record submission or cancellation to append
     * @param deadlineMillis monotonic time after which the append is not retried
     * @return whether the record is stored
     */
    CompletableFuture<Outcome> store(KeyedRecord record, long deadlineMillis) {
        if (mStopped) {
            return CompletableFuture.completedFuture(notStored(record, STOPPED_REASON));
        }
        PendingRecord pending = new PendingRecord(record, mLoop.nowMillis(), deadlineMillis);
        if (!mAvailable && mBusy) {
            return CompletableFuture.completedFuture(
                    notStored(record, "the store does not take submissions at present"));
        }
        mPending.add(pending);
        send();
        return pending.mOutcome;
    }

    /**
     * Completes all open requests at once and appends nothing more. A record whose append is in
     * progress, or was without an answer, may be stored; the others are not stored.
     */
    void stop() {
        mStopped = true;
        long untilMillis = mLoop.nowMillis() + LATE_APPEND_MILLIS;
        for (PendingRecord pending : mInFlight) {
            mUnansweredUntilMillis.put(pending.mRecord.key(), untilMillis);
            pending.mOutcome.complete(
                    new Outcome.Unknown("the append got no answer before the process ended"));
        }
        List<PendingRecord> unsent = List.copyOf(mPending);
        mPending.clear();
        unsent.forEach(
                pending -> pending.mOutcome.complete(notStored(pending.mRecord, STOPPED_REASON)));
    }

    /**
     * Returns whether an earlier append of a record got no answer and may have stored it.
     *
     * @param key key of the record
     */
    boolean mayBeStored(String key) {
        return mUnansweredUntilMillis.getOrDefault(key, Long.MIN_VALUE) > mLoop.nowMillis();
    }

    private void send() {
        if (mBusy || mPending.isEmpty()) {
            return;
        }
        mBusy = true;
        List<PendingRecord> batch = takeBatch();
        mInFlight = batch;
        mStore.append(
                        Topic.JOBS,
                        batch.stream().map(pending -> pending.mRecord).toList(),
                        new Store.Condition.Always(),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> appendAnswered(batch, outcome));
    }

    /**
     * Completes the requests for a record that the leader has read, and so is stored although the
     * answer of the append may be lost.
     *
     * @param key key of the record
     */
    void confirmStored(String key) {
        mUnansweredUntilMillis.remove(key);
        for (List<PendingRecord> records : List.of(mInFlight, List.copyOf(mPending))) {
            for (PendingRecord pending : records) {
                if (pending.mRecord.key().equals(key)) {
                    pending.mOutcome.complete(new Outcome.Stored());
                }
            }
        }
    }

    /** Removes and returns the pending records that fit into one call; at least one. */
    private List<PendingRecord> takeBatch() {
        int count =
                Store.splitForAppend(mPending.stream().map(pending -> pending.mRecord).toList())
                        .get(0)
                        .size();
        List<PendingRecord> first = mPending.subList(0, count);
        List<PendingRecord> batch = new ArrayList<>(first);
        first.clear();
        return batch;
    }

    /** Returns the outcome of a record that this request has not stored. */
    private Outcome notStored(KeyedRecord record, String reason) {
        long now = mLoop.nowMillis();
        mUnansweredUntilMillis.values().removeIf(untilMillis -> untilMillis <= now);
        return mUnansweredUntilMillis.containsKey(record.key())
                ? new Outcome.Unknown("an earlier append of it got no answer; now " + reason)
                : new Outcome.NotStored(reason);
    }

    private void appendAnswered(List<PendingRecord> batch, AppendOutcome outcome) {
        mInFlight = List.of();
        boolean stored = outcome instanceof AppendOutcome.Appended;
        updateAvailable(stored, outcome);
        if (stored) {
            mBusy = false;
            batch.forEach(pending -> mUnansweredUntilMillis.remove(pending.mRecord.key()));
            batch.forEach(pending -> pending.mOutcome.complete(new Outcome.Stored()));
            send();
            return;
        }
        boolean possiblyStored = outcome instanceof AppendOutcome.Unknown;
        // Records that the leader has confirmed meanwhile need no further append.
        List<PendingRecord> open =
                batch.stream().filter(pending -> !pending.mOutcome.isDone()).toList();
        if (possiblyStored) {
            long untilMillis = mLoop.nowMillis() + LATE_APPEND_MILLIS;
            open.forEach(pending -> mUnansweredUntilMillis.put(pending.mRecord.key(), untilMillis));
        }
        for (PendingRecord unsent : mPending) {
            unsent.mOutcome.complete(notStored(unsent.mRecord, "not sent: " + outcome));
        }
        mPending.clear();
        for (PendingRecord pending : open) {
            pending.mPossiblyStored |= possiblyStored;
            if (!completeIfExpired(pending, outcome)) {
                mPending.add(pending);
            }
        }
        mLoop.schedule(
                RETRY_DELAY_MILLIS,
                () -> {
                    mBusy = false;
                    send();
                });
    }

    private boolean completeIfExpired(PendingRecord pending, AppendOutcome outcome) {
        long now = mLoop.nowMillis();
        if (pending.mPossiblyStored) {
            if (now - pending.mArrivedMillis < MAX_UNKNOWN_RETRY_MILLIS
                    && now < pending.mDeadlineMillis) {
                return false;
            }
            pending.mOutcome.complete(new Outcome.Unknown(outcome.toString()));
            return true;
        }
        if (now - pending.mArrivedMillis < MAX_REFUSED_RETRY_MILLIS
                && now < pending.mDeadlineMillis) {
            return false;
        }
        pending.mOutcome.complete(notStored(pending.mRecord, outcome.toString()));
        return true;
    }

    private void updateAvailable(boolean stored, AppendOutcome outcome) {
        if (stored != mAvailable) {
            mAvailable = stored;
            if (stored) {
                LogEvent.LOG_AVAILABLE.log(((AppendOutcome.Appended) outcome).offset());
            } else {
                LogEvent.LOG_UNAVAILABLE.log("topic JOBS cannot be written: " + outcome);
            }
        }
    }
}
