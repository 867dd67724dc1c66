package org.hornbeamward.dispatch.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Store.NewestOutcome;
import org.hornbeamward.dispatch.port.Store.ReadOutcome;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.event.LogEvent;
import org.jspecify.annotations.Nullable;

/**
 * Follows a keyed topic: reads the newest record of every key, then each new record. When the
 * history it needs is gone, it reads the newest records again. Runs on the loop.
 */
public final class TopicFollower {
    /** Longest time that the store may take for an answer beyond the wait that was asked for. */
    private static final long ANSWER_TIMEOUT_MILLIS = 900;

    /**
     * The same for a page of the newest records. It has up to 1 MB, which takes 1.2 s on the
     * weakest instances' links of 7 Mbit/s, and twice that beside other traffic.
     */
    private static final long PAGE_TIMEOUT_MILLIS = 3_000;

    /** Pause after a failed read; the store's own rate limit allows thousands of calls a second. */
    private static final long RETRY_MILLIS = 150;

    /** Receives what the topic holds. */
    public interface Listener {
        /**
         * Replaces everything that was received before.
         *
         * @param newest the newest value of every key
         */
        void loaded(Map<String, byte[]> newest);

        /**
         * Applies records in order.
         *
         * @param records the records
         */
        void changed(List<KeyedRecord> records);
    }

    private final Loop mLoop;
    private final Store mStore;
    private final Topic mTopic;
    private final long mWaitMillis;
    private final long mPauseMillis;
    private final Listener mListener;
    private boolean mRunning;
    private boolean mLoaded;
    private boolean mAvailable = true;
    private long mNextOffset;
    private long mFreshMillis = Long.MIN_VALUE;
    private long mAvailableSinceMillis = Long.MAX_VALUE;
    private long mAnsweredMillis = Long.MIN_VALUE;
    private @Nullable Map<String, byte[]> mPages;

    /**
     * Creates a follower.
     *
     * @param loop the loop
     * @param store the store
     * @param topic the topic
     * @param waitMillis how long the store waits for a record before it answers without one
     * @param pauseMillis pause between two reads, so that one read returns several records
     * @param listener receives the content
     */
    public TopicFollower(
            Loop loop,
            Store store,
            Topic topic,
            long waitMillis,
            long pauseMillis,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mTopic = topic;
        mWaitMillis = waitMillis;
        mPauseMillis = pauseMillis;
        mListener = listener;
    }

    /** Starts reading. */
    public void start() {
        mRunning = true;
        loadPage("");
    }

    /** Stops; the listener is not called again. */
    public void stop() {
        mRunning = false;
    }

    /**
     * Returns whether the newest records were delivered.
     *
     * @return true after the first load
     */
    public boolean isLoaded() {
        return mLoaded;
    }

    /**
     * Returns the offset that follows the last record that was delivered.
     *
     * @return the offset
     */
    public long nextOffset() {
        return mNextOffset;
    }

    /**
     * Returns the moment up to which the topic's content is known.
     *
     * @return steady milliseconds; the smallest long before the first answer
     */
    public long freshMillis() {
        return mFreshMillis;
    }

    /**
     * Returns when the store last answered.
     *
     * @return steady milliseconds; the smallest long before the first answer
     */
    public long answeredMillis() {
        return mAnsweredMillis;
    }

    /**
     * Returns the moment since which the store has answered without a failure.
     *
     * @return steady milliseconds; the largest long while it does not answer
     */
    public long availableSinceMillis() {
        return mAvailableSinceMillis;
    }

    private void loadPage(String afterKey) {
        long sentMillis = mLoop.nowMillis();
        mStore.newest(mTopic, afterKey, PAGE_TIMEOUT_MILLIS)
                .thenAccept(
                        outcome -> {
                            if (mRunning) {
                                page(outcome, afterKey, sentMillis);
                            }
                        });
    }

    private void page(NewestOutcome outcome, String afterKey, long sentMillis) {
        switch (outcome) {
            case NewestOutcome.Unavailable unavailable ->
                    retry(unavailable.reason(), () -> loadPage(afterKey));
            case NewestOutcome.Page page -> {
                Map<String, byte[]> pages = mPages;
                if (afterKey.isEmpty() || pages == null) {
                    pages = new LinkedHashMap<>();
                    mPages = pages;
                    // Pages are no snapshot, so changes are read from the end at the first one.
                    mNextOffset = page.endOffset();
                    mFreshMillis = sentMillis;
                }
                String last = afterKey;
                for (KeyedRecord record : page.records()) {
                    byte[] value = record.value();
                    if (value != null) {
                        pages.put(record.key(), value);
                    }
                    last = record.key();
                }
                available();
                if (page.more() && !page.records().isEmpty()) {
                    loadPage(last);
                } else {
                    mPages = null;
                    mLoaded = true;
                    mListener.loaded(pages);
                    read();
                }
            }
        }
    }

    private void read() {
        if (!mRunning) {
            return;
        }
        long sentMillis = mLoop.nowMillis();
        mStore.read(mTopic, mNextOffset, mWaitMillis, mWaitMillis + ANSWER_TIMEOUT_MILLIS)
                .thenAccept(
                        outcome -> {
                            if (mRunning) {
                                received(outcome, sentMillis);
                            }
                        });
    }

    private void received(ReadOutcome outcome, long sentMillis) {
        switch (outcome) {
            case ReadOutcome.Records records -> {
                available();
                mFreshMillis = sentMillis;
                if (!records.records().isEmpty()) {
                    mNextOffset += records.records().size();
                    mListener.changed(records.records());
                }
                if (mPauseMillis > 0) {
                    mLoop.schedule(mPauseMillis, this::read);
                } else {
                    read();
                }
            }
            case ReadOutcome.HistoryGone gone -> {
                LogEvent.HISTORY_GONE.log(mTopic, mNextOffset);
                loadPage("");
            }
            case ReadOutcome.Unavailable unavailable -> retry(unavailable.reason(), this::read);
        }
    }

    private void retry(String reason, Runnable again) {
        mAvailableSinceMillis = Long.MAX_VALUE;
        if (mAvailable) {
            mAvailable = false;
            LogEvent.LOG_UNAVAILABLE.log("topic " + mTopic + " cannot be read: " + reason);
        }
        mLoop.schedule(
                RETRY_MILLIS,
                () -> {
                    if (mRunning) {
                        again.run();
                    }
                });
    }

    private void available() {
        mAnsweredMillis = mLoop.nowMillis();
        mAvailableSinceMillis = Math.min(mAvailableSinceMillis, mAnsweredMillis);
        if (!mAvailable) {
            mAvailable = true;
            LogEvent.LOG_AVAILABLE.log(mNextOffset);
        }
    }
}
