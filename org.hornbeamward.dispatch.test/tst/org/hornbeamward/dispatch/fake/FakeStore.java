package org.hornbeamward.dispatch.fake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Topic;
import org.jspecify.annotations.Nullable;

/** An in-memory store that gives the answers and shows the faults of the platform's store. */
public final class FakeStore implements Store {
    private static final long ANSWER_MILLIS = 8;

    /** Largest size of one append; the platform's setting {@code call_bytes}. */
    private static final int MAX_CALL_BYTES = 2 * 1024 * 1024;

    /** Largest size of a record; the platform's setting {@code record_bytes}. */
    private static final int MAX_RECORD_BYTES = 262_144;

    /** Bytes of a record that say how long its key is. */
    private static final int KEY_LENGTH_BYTES = 1;

    private final Loop mLoop;
    private final Map<Topic, List<KeyedRecord>> mTopics = new EnumMap<>(Topic.class);
    private final Map<Topic, Integer> mEarliestOffsets = new EnumMap<>(Topic.class);
    private final Map<String, Long> mEpochs = new LinkedHashMap<>();
    private final Map<String, Long> mNextSequences = new LinkedHashMap<>();
    private final Map<String, Long> mOffsets = new LinkedHashMap<>();

    /** Whether every call is refused. */
    public boolean down;

    /** Topic whose appends are refused; null for none. */
    public @Nullable Topic refusedTopic;

    /** Number of the next appends that take effect but whose answers are lost. */
    public int loseAnswerCount;

    /** Response time for a page of the newest records. */
    public long newestMillis = ANSWER_MILLIS;

    /** Number of records in a page of the newest ones; pages are in the order of the keys. */
    public int pageRecordCount = Integer.MAX_VALUE;

    /** Response time for an append whose answer is not lost. */
    public long appendMillis = ANSWER_MILLIS;

    /** Time until a read looks for records. */
    public long readMillis = ANSWER_MILLIS;

    /** Number of append calls that were refused because a record was too large. */
    public int tooLargeCount;

    /** Number of append calls. */
    public int appendCount;

    /**
     * Creates an empty store.
     *
     * @param loop event loop that provides the clocks and timers
     */
    public FakeStore(Loop loop) {
        mLoop = loop;
    }

    /**
     * Returns the records of a topic.
     *
     * @param topic topic whose records are returned
     * @return all records, in order
     */
    public List<KeyedRecord> records(Topic topic) {
        return mTopics.computeIfAbsent(topic, key -> new ArrayList<>());
    }

    /**
     * Drops the history of a topic; the newest record of each key is kept.
     *
     * @param topic topic whose history is dropped
     */
    public void dropHistory(Topic topic) {
        mEarliestOffsets.put(topic, records(topic).size());
    }

    private <T> CompletableFuture<T> completeLater(long millis, T value) {
        CompletableFuture<T> future = new CompletableFuture<>();
        mLoop.schedule(millis, () -> future.complete(value));
        return future;
    }

    @Override
    public CompletableFuture<AppendOutcome> append(
            Topic topic, List<KeyedRecord> records, Condition condition, long timeoutMillis) {
        appendCount++;
        if (down || topic == refusedTopic) {
            return completeLater(ANSWER_MILLIS, new AppendOutcome.Refused("down"));
        }
        if (records.stream().mapToInt(KeyedRecord::byteCount).sum() > MAX_CALL_BYTES) {
            return completeLater(ANSWER_MILLIS, new AppendOutcome.Refused("the call is too large"));
        }
        for (KeyedRecord record : records) {
            if (KEY_LENGTH_BYTES + record.byteCount() > MAX_RECORD_BYTES) {
                tooLargeCount++;
                return completeLater(
                        ANSWER_MILLIS,
                        new AppendOutcome.Refused("record " + record.key() + " is too large"));
            }
        }
        AppendOutcome outcome = apply(topic, records, condition);
        if (loseAnswerCount > 0) {
            loseAnswerCount--;
            return completeLater(timeoutMillis, new AppendOutcome.Unknown("answer lost"));
        }
        return completeLater(appendMillis, outcome);
    }

    private AppendOutcome apply(Topic topic, List<KeyedRecord> records, Condition condition) {
        List<KeyedRecord> log = records(topic);
        switch (condition) {
            case Condition.Always always -> {}
            case Condition.EndsAt endsAt -> {
                if (endsAt.offset() != log.size()) {
                    return new AppendOutcome.EndMoved(log.size());
                }
            }
            case Condition.Fenced fenced -> {
                long epoch = mEpochs.getOrDefault(fenced.producer(), 0L);
                if (fenced.epoch() < epoch) {
                    return new AppendOutcome.Deposed();
                }
                if (fenced.epoch() > epoch) {
                    mEpochs.put(fenced.producer(), fenced.epoch());
                    mNextSequences.put(fenced.producer(), fenced.sequence());
                }
                if (!records.isEmpty()) {
                    long next = mNextSequences.getOrDefault(fenced.producer(), 0L);
                    String appendKey = fenced.producer() + fenced.epoch() + "/" + fenced.sequence();
                    if (fenced.sequence() < next && mOffsets.containsKey(appendKey)) {
                        return new AppendOutcome.Appended(mOffsets.getOrDefault(appendKey, 0L));
                    }
                    if (fenced.sequence() != next) {
                        return new AppendOutcome.OutOfSequence(next);
                    }
                    mNextSequences.put(fenced.producer(), next + 1);
                    mOffsets.put(appendKey, (long) log.size());
                }
            }
        }
        long offset = log.size();
        log.addAll(records);
        return new AppendOutcome.Appended(offset);
    }

    @Override
    public CompletableFuture<ReadOutcome> read(
            Topic topic, long fromOffset, long waitMillis, long timeoutMillis) {
        if (down) {
            return completeLater(ANSWER_MILLIS, new ReadOutcome.Unavailable("down"));
        }
        CompletableFuture<ReadOutcome> answer = new CompletableFuture<>();
        long untilMillis = mLoop.nowMillis() + waitMillis;
        mLoop.schedule(readMillis, () -> poll(topic, fromOffset, untilMillis, answer));
        return answer;
    }

    private void poll(
            Topic topic, long fromOffset, long untilMillis, CompletableFuture<ReadOutcome> answer) {
        List<KeyedRecord> log = records(topic);
        if (down) {
            answer.complete(new ReadOutcome.Unavailable("down"));
        } else if (fromOffset < mEarliestOffsets.getOrDefault(topic, 0)) {
            answer.complete(new ReadOutcome.HistoryGone());
        } else if (fromOffset < log.size() || mLoop.nowMillis() >= untilMillis) {
            int from = (int) Math.min(fromOffset, log.size());
            answer.complete(
                    new ReadOutcome.Records(
                            List.copyOf(log.subList(from, log.size())), log.size()));
        } else {
            mLoop.schedule(ANSWER_MILLIS, () -> poll(topic, fromOffset, untilMillis, answer));
        }
    }

    @Override
    public CompletableFuture<NewestOutcome> newest(
            Topic topic, String afterKey, long timeoutMillis) {
        if (down) {
            return completeLater(ANSWER_MILLIS, new NewestOutcome.Unavailable("down"));
        }
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        for (KeyedRecord record : records(topic)) {
            newest.put(record.key(), record);
        }
        newest.values().removeIf(record -> record.value() == null);
        List<KeyedRecord> page = new ArrayList<>(newest.values());
        if (pageRecordCount < Integer.MAX_VALUE) {
            page.sort(Comparator.comparing(KeyedRecord::key));
            page.removeIf(record -> record.key().compareTo(afterKey) <= 0);
        }
        boolean more = page.size() > pageRecordCount;
        return completeLater(
                newestMillis,
                new NewestOutcome.Page(
                        List.copyOf(page.subList(0, Math.min(page.size(), pageRecordCount))),
                        more,
                        records(topic).size()));
    }
}
