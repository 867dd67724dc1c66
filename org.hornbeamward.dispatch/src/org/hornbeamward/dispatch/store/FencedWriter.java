package org.hornbeamward.dispatch.store;

import java.util.List;
import org.hornbeamward.dispatch.port.ClockReading;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Store.AppendOutcome;
import org.hornbeamward.dispatch.port.Store.Condition;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.event.LogEvent;
import org.jspecify.annotations.Nullable;

/**
 * Appends to a topic as the only writer of an epoch, one append at a time. An append without an
 * answer is repeated with the same sequence number until its outcome is known, so that it takes
 * effect exactly once. A successful append also confirms that no later epoch exists. Runs on the
 * loop.
 */
public final class FencedWriter {
    /** Timeout of one append; the store answers in 8 ms, and at worst 60 times slower. */
    private static final long ANSWER_TIMEOUT_MILLIS = 900;

    private static final long FIRST_RETRY_DELAY_MILLIS = 40;
    private static final long MAX_RETRY_DELAY_MILLIS = 400;

    /** Is notified when a writer of a later epoch has taken over. */
    @FunctionalInterface
    public interface DeposedListener {
        /**
         * Called at most once.
         *
         * @param reason what the store answered
         */
        void deposed(String reason);
    }

    private final Loop mLoop;
    private final Store mStore;
    private final Topic mTopic;
    private final String mProducer;
    private final long mEpoch;
    private final DeposedListener mListener;
    private boolean mActive = true;
    private boolean mBusy;
    private boolean mAvailable = true;
    private long mSequence;
    private long mRetryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
    private ClockReading mConfirmed;
    private long mEndOffset = -1;

    /**
     * Time at which the append in progress was first sent without getting an answer; null for none.
     * A repeated append may have taken effect then, so that a confirmation counts from then.
     */
    private @Nullable ClockReading mUnanswered;

    /**
     * Creates a writer.
     *
     * @param loop event loop that provides the clocks and timers
     * @param store store that holds the topic
     * @param topic topic to append to
     * @param producer name of the producer
     * @param epoch the epoch of this writer
     * @param listener is notified when this writer is deposed
     */
    public FencedWriter(
            Loop loop,
            Store store,
            Topic topic,
            String producer,
            long epoch,
            DeposedListener listener) {
        mLoop = loop;
        mStore = store;
        mTopic = topic;
        mProducer = producer;
        mEpoch = epoch;
        mListener = listener;
        // The epoch has just been confirmed by the election that it comes from.
        mConfirmed = ClockReading.now(loop);
    }

    /** Closes the writer; no callback runs afterwards. */
    public void close() {
        mActive = false;
    }

    /**
     * Returns whether an append is in progress.
     *
     * @return true until its outcome is known
     */
    public boolean isBusy() {
        return mBusy;
    }

    /**
     * Returns the time since the store last confirmed that no later epoch exists.
     *
     * @return milliseconds, the larger value of the monotonic and the wall clock, so that time in
     *     which the machine was suspended counts
     */
    public long unconfirmedMillis() {
        return mConfirmed.ageMillis(mLoop);
    }

    /**
     * Appends records. An append without records only fences earlier epochs and confirms this one.
     *
     * @param records records to append
     * @param committed called after the append took effect
     * @throws IllegalStateException if an append is in progress
     */
    public void append(List<KeyedRecord> records, Runnable committed) {
        if (mBusy) {
            throw new IllegalStateException("an append is already in progress");
        }
        mBusy = true;
        appendFrom(0, Store.splitForAppend(records), committed);
    }

    /**
     * Appends the remaining batches one after the other. The records of one moment exceed a single
     * call after a loss of all workers or instances, when every job has changed.
     */
    private void appendFrom(int index, List<List<KeyedRecord>> batches, Runnable committed) {
        boolean last = index == batches.size() - 1;
        send(
                batches.get(index),
                () -> {
                    if (last) {
                        mBusy = false;
                        committed.run();
                    } else {
                        appendFrom(index + 1, batches, committed);
                    }
                });
    }

    /**
     * Returns the offset after the last append.
     *
     * @return the offset; -1 before the first append with records
     */
    public long endOffset() {
        return mEndOffset;
    }

    private void send(List<KeyedRecord> records, Runnable committed) {
        if (!mActive) {
            return;
        }
        ClockReading sent = mUnanswered == null ? ClockReading.now(mLoop) : mUnanswered;
        mStore.append(
                        mTopic,
                        records,
                        new Condition.Fenced(mProducer, mEpoch, mSequence),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(
                        outcome -> {
                            if (mActive) {
                                appendAnswered(outcome, records, committed, sent);
                            }
                        });
    }

    private void appendAnswered(
            AppendOutcome outcome,
            List<KeyedRecord> records,
            Runnable committed,
            ClockReading sent) {
        switch (outcome) {
            case AppendOutcome.Appended appended -> {
                mConfirmed = sent;
                if (!records.isEmpty()) {
                    mEndOffset = appended.offset() + records.size();
                }
                complete(records, committed);
            }
            case AppendOutcome.Deposed deposed -> depose("epoch " + mEpoch + " is fenced");
            case AppendOutcome.EndMoved moved -> depose("the end offset of the topic has changed");
            case AppendOutcome.OutOfSequence sequence -> {
                if (sequence.expectedSequence() == mSequence + 1) {
                    // The append took effect so long ago that the store no longer keeps its answer.
                    complete(records, committed);
                } else {
                    depose("the store expects sequence " + sequence.expectedSequence());
                }
            }
            case AppendOutcome.Refused refused -> retry(refused.reason(), records, committed);
            case AppendOutcome.Unknown unknown -> {
                mUnanswered = sent;
                retry(unknown.reason(), records, committed);
            }
        }
    }

    private void complete(List<KeyedRecord> records, Runnable committed) {
        if (!mAvailable) {
            mAvailable = true;
            LogEvent.LOG_AVAILABLE.log(mSequence);
        }
        mUnanswered = null;
        mRetryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
        if (!records.isEmpty()) {
            mSequence++;
        }
        committed.run();
    }

    private void retry(String reason, List<KeyedRecord> records, Runnable committed) {
        if (mAvailable) {
            mAvailable = false;
            LogEvent.LOG_UNAVAILABLE.log("topic " + mTopic + " cannot be written: " + reason);
        }
        mLoop.schedule(mRetryDelayMillis, () -> send(records, committed));
        mRetryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, mRetryDelayMillis * 2);
    }

    private void depose(String reason) {
        mActive = false;
        mListener.deposed(reason);
    }
}
