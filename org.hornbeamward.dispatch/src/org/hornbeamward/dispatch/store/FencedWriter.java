package org.hornbeamward.dispatch.store;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Store.AppendOutcome;
import org.hornbeamward.dispatch.port.Store.Condition;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.event.LogEvent;

/**
 * Appends to a topic as its only writer of an epoch, one append at a time. An append without an
 * answer is repeated with its sequence until its outcome is known, so that every commit happens
 * once. A confirmed append also confirms the authority of the writer. Runs on the loop.
 */
public final class FencedWriter {
    /**
     * Longest time to wait for an answer; the store answers in 8 ms and 60 times slower at worst.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 900;

    private static final long FIRST_RETRY_MILLIS = 40;
    private static final long MAX_RETRY_MILLIS = 400;

    /** Learns that another writer has taken over. */
    @FunctionalInterface
    public interface DeposedListener {
        /**
         * Called once.
         *
         * @param reason what showed it
         */
        void deposed(String reason);
    }

    private final Loop mLoop;
    private final Store mStore;
    private final Topic mTopic;
    private final String mProducer;
    private final long mEpoch;
    private final DeposedListener mListener;
    private boolean mOpen = true;
    private boolean mBusy;
    private boolean mAvailable = true;
    private long mSequence;
    private long mRetryMillis = FIRST_RETRY_MILLIS;
    private long mConfirmedSteadyMillis;
    private long mConfirmedWallMillis;
    private long mEndOffset = -1;

    /**
     * Creates a writer.
     *
     * @param loop the loop
     * @param store the store
     * @param topic the topic
     * @param producer name of the producer
     * @param epoch epoch of this writer
     * @param listener learns of a successor
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
        // The election that gave the epoch has just confirmed it.
        mConfirmedSteadyMillis = loop.nowMillis();
        mConfirmedWallMillis = loop.wallMillis();
    }

    /** Stops; no callback runs afterwards. */
    public void close() {
        mOpen = false;
    }

    /**
     * Returns whether an append is under way.
     *
     * @return true until its outcome is known
     */
    public boolean isBusy() {
        return mBusy;
    }

    /**
     * Returns how long ago the store last confirmed that no successor exists.
     *
     * @return milliseconds, the larger of both clocks, so that a suspended machine notices
     */
    public long unconfirmedMillis() {
        return Math.max(
                mLoop.nowMillis() - mConfirmedSteadyMillis,
                mLoop.wallMillis() - mConfirmedWallMillis);
    }

    /**
     * Appends records. Without records it only fences earlier epochs and confirms this one.
     *
     * @param records the records
     * @param committed runs after the append took effect
     * @throws IllegalStateException if an append is under way
     */
    public void append(List<KeyedRecord> records, Runnable committed) {
        if (mBusy) {
            throw new IllegalStateException("an append is under way");
        }
        mBusy = true;
        send(new ArrayList<>(records), committed);
    }

    /**
     * Returns the offset that follows the last append.
     *
     * @return the offset; -1 before the first append with records
     */
    public long endOffset() {
        return mEndOffset;
    }

    private void send(List<KeyedRecord> records, Runnable committed) {
        if (!mOpen) {
            return;
        }
        long steadyMillis = mLoop.nowMillis();
        long wallMillis = mLoop.wallMillis();
        mStore.append(
                        mTopic,
                        records,
                        new Condition.Fenced(mProducer, mEpoch, mSequence),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(
                        outcome -> {
                            if (mOpen) {
                                answered(outcome, records, committed, steadyMillis, wallMillis);
                            }
                        });
    }

    private void answered(
            AppendOutcome outcome,
            List<KeyedRecord> records,
            Runnable committed,
            long steadyMillis,
            long wallMillis) {
        switch (outcome) {
            case AppendOutcome.Appended appended -> {
                mConfirmedSteadyMillis = steadyMillis;
                mConfirmedWallMillis = wallMillis;
                if (!records.isEmpty()) {
                    mEndOffset = appended.offset() + records.size();
                }
                finish(records, committed);
            }
            case AppendOutcome.Deposed deposed -> depose("its epoch " + mEpoch + " is fenced");
            case AppendOutcome.EndMoved moved -> depose("the topic has moved");
            case AppendOutcome.OutOfSequence sequence -> {
                if (sequence.expectedSequence() == mSequence + 1) {
                    // The append took effect longer ago than the store remembers its answer.
                    finish(records, committed);
                } else {
                    depose("sequence " + sequence.expectedSequence() + " is expected");
                }
            }
            case AppendOutcome.Refused refused -> retry(refused.reason(), records, committed);
            case AppendOutcome.Unknown unknown -> retry(unknown.reason(), records, committed);
        }
    }

    private void finish(List<KeyedRecord> records, Runnable committed) {
        if (!mAvailable) {
            mAvailable = true;
            LogEvent.LOG_AVAILABLE.log(mSequence);
        }
        mRetryMillis = FIRST_RETRY_MILLIS;
        if (!records.isEmpty()) {
            mSequence++;
        }
        mBusy = false;
        committed.run();
    }

    private void retry(String reason, List<KeyedRecord> records, Runnable committed) {
        if (mAvailable) {
            mAvailable = false;
            LogEvent.LOG_UNAVAILABLE.log("topic " + mTopic + " cannot be written: " + reason);
        }
        mLoop.schedule(mRetryMillis, () -> send(records, committed));
        mRetryMillis = Math.min(MAX_RETRY_MILLIS, mRetryMillis * 2);
    }

    private void depose(String reason) {
        mOpen = false;
        mListener.deposed(reason);
    }
}
