package org.hornbeamward.dispatch.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.port.ClockReading;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Store.NewestOutcome;
import org.hornbeamward.dispatch.port.Store.ReadOutcome;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.event.LogEvent;
import org.jspecify.annotations.Nullable;

/**
 * Follows a keyed topic: loads the newest record of every key, then reads each new record. If the
 * records that it needs next have been dropped from the history, it loads the newest records again.
 * Runs on the loop.
 */
public final class TopicFollower {
    /** Timeout of a read, in addition to the requested long-poll wait. */
    private static final long ANSWER_TIMEOUT_MILLIS = 900;

    /**
     * Timeout for one page of the newest records. A page has up to 1 MB, which takes 1.2 s on the
     * slowest instance links of 7 Mbit/s, and twice as long with other traffic on the link.
     */
    private static final long PAGE_TIMEOUT_MILLIS = 3_000;

    /** Delay after a failed read; the store's rate limit allows thousands of calls per second. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /** Receives the content of the topic. */
    public interface Listener {
        /**
         * Replaces all content that was delivered before.
         *
         * @param newest the newest value of every key
         */
        void loaded(Map<String, byte[]> newest);

        /**
         * Applies records in order.
         *
         * @param records new records, oldest first
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
    private @Nullable ClockReading mUpToDate;
    private @Nullable ClockReading mLoadStarted;
    private long mAvailableSinceMillis = Long.MAX_VALUE;
    private long mAnsweredMillis = Long.MIN_VALUE;
    private @Nullable Map<String, byte[]> mLoadedPages;

    /**
     * Creates a follower.
     *
     * @param loop event loop that provides the clocks and timers
     * @param store store that holds the topic
     * @param topic topic to follow
     * @param waitMillis long-poll wait: how long the store waits for a record before it answers
     *     without one
     * @param pauseMillis pause between two reads, which batches several records into one read
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
     * Returns the offset after the last record that was delivered.
     *
     * @return the offset
     */
    public long nextOffset() {
        return mNextOffset;
    }

    /**
     * Returns the age of the content of the topic.
     *
     * @return milliseconds, including time in which the machine was suspended; {@code
     *     Long.MAX_VALUE} before the first answer
     */
    public long ageMillis() {
        ClockReading upToDate = mUpToDate;
        return upToDate == null ? Long.MAX_VALUE : upToDate.ageMillis(mLoop);
    }

    /**
     * Returns when the store last answered.
     *
     * @return monotonic milliseconds; {@code Long.MIN_VALUE} before the first answer
     */
    public long answeredMillis() {
        return mAnsweredMillis;
    }

    /**
     * Returns the time since which the store has answered all reads.
     *
     * @return monotonic milliseconds; {@code Long.MAX_VALUE} before the first answer and while
     *     reads fail
     */
    public long availableSinceMillis() {
        return mAvailableSinceMillis;
    }

    private void loadPage(String afterKey) {
        ClockReading sent = ClockReading.now(mLoop);
        mStore.newest(mTopic, afterKey, PAGE_TIMEOUT_MILLIS)
                .exceptionally(error -> new NewestOutcome.Unavailable(error.toString()))
                .thenAccept(
                        outcome -> {
                            if (mRunning) {
                                pageReceived(outcome, afterKey, sent);
                            }
                        });
    }

    private void pageReceived(NewestOutcome outcome, String afterKey, ClockReading sent) {
        switch (outcome) {
            case NewestOutcome.Unavailable unavailable ->
                    retry(unavailable.reason(), () -> loadPage(afterKey));
            case NewestOutcome.Page page -> {
                Map<String, byte[]> loadedPages = mLoadedPages;
                if (afterKey.isEmpty() || loadedPages == null) {
                    loadedPages = new LinkedHashMap<>();
                    mLoadedPages = loadedPages;
                    // The pages are not a consistent snapshot, so changes are read from the end
                    // offset of the first page on.
                    mNextOffset = page.endOffset();
                    mLoadStarted = sent;
                }
                String last = afterKey;
                for (KeyedRecord record : page.records()) {
                    byte[] value = record.value();
                    if (value != null) {
                        loadedPages.put(record.key(), value);
                    }
                    // The page after an empty key would be the first one again.
                    last = record.key().isEmpty() ? last : record.key();
                }
                noteAnswer();
                if (page.more() && !last.equals(afterKey)) {
                    loadPage(last);
                } else {
                    mLoadedPages = null;
                    mLoaded = true;
                    // Not before: until then the listener knows the content of an earlier time.
                    mUpToDate = mLoadStarted;
                    Map<String, byte[]> newest = loadedPages;
                    deliver(() -> mListener.loaded(newest));
                    read();
                }
            }
        }
    }

    private void read() {
        if (!mRunning) {
            return;
        }
        ClockReading sent = ClockReading.now(mLoop);
        // An answer that cannot be decoded is asked for again; reading must not end with it.
        mStore.read(mTopic, mNextOffset, mWaitMillis, mWaitMillis + ANSWER_TIMEOUT_MILLIS)
                .exceptionally(error -> new ReadOutcome.Unavailable(error.toString()))
                .thenAccept(
                        outcome -> {
                            if (mRunning) {
                                recordsReceived(outcome, sent);
                            }
                        });
    }

    private void recordsReceived(ReadOutcome outcome, ClockReading sent) {
        switch (outcome) {
            case ReadOutcome.Records records -> {
                noteAnswer();
                mUpToDate = sent;
                if (!records.records().isEmpty()) {
                    mNextOffset += records.records().size();
                    deliver(() -> mListener.changed(records.records()));
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

    /**
     * Calls the listener. If it fails, reading goes on; otherwise one record that it cannot handle
     * would stop this and every later process from following the topic.
     */
    private void deliver(Runnable delivery) {
        try {
            delivery.run();
        } catch (RuntimeException e) {
            LogEvent.DUTY_FAILED.log(e, "follower of topic " + mTopic);
        }
    }

    private void retry(String reason, Runnable operation) {
        mAvailableSinceMillis = Long.MAX_VALUE;
        if (mAvailable) {
            mAvailable = false;
            LogEvent.LOG_UNAVAILABLE.log("topic " + mTopic + " cannot be read: " + reason);
        }
        mLoop.schedule(
                RETRY_DELAY_MILLIS,
                () -> {
                    if (mRunning) {
                        operation.run();
                    }
                });
    }

    private void noteAnswer() {
        mAnsweredMillis = mLoop.nowMillis();
        mAvailableSinceMillis = Math.min(mAvailableSinceMillis, mAnsweredMillis);
        if (!mAvailable) {
            mAvailable = true;
            LogEvent.LOG_AVAILABLE.log(mNextOffset);
        }
    }
}
