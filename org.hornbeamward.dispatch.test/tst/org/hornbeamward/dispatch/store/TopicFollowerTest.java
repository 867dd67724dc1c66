package org.hornbeamward.dispatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Topic;
import org.junit.jupiter.api.Test;

/** Answers of the store that must not keep a follower from the records behind them. */
class TopicFollowerTest {
    private final VirtualLoop mLoop = new VirtualLoop();
    private final OddStore mStore = new OddStore(mLoop);
    private final List<String> mKeys = new ArrayList<>();
    private final TopicFollower mFollower =
            new TopicFollower(mLoop, mStore, Topic.WORKERS, 100, 0, new Keys());

    /** Collects the keys that were delivered. */
    private final class Keys implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            mKeys.addAll(newest.keySet());
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            records.forEach(record -> mKeys.add(record.key()));
        }
    }

    /** A store with two pages, the first of which ends with an odd key, and reads that fail. */
    private static final class OddStore implements Store {
        private final Loop mLoop;
        private String mOddKey = "";
        private int mPageCount;
        private int mFailingReadCount;
        private boolean mHistoryGone;
        private long mSecondPageMillis = 8;

        OddStore(Loop loop) {
            mLoop = loop;
        }

        private <T> CompletableFuture<T> later(T value) {
            return later(8, value);
        }

        private <T> CompletableFuture<T> later(long millis, T value) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            mLoop.schedule(millis, () -> answer.complete(value));
            return answer;
        }

        @Override
        public CompletableFuture<AppendOutcome> append(
                Topic topic, List<KeyedRecord> records, Condition condition, long timeoutMillis) {
            return later(new AppendOutcome.Refused("read only"));
        }

        @Override
        public CompletableFuture<ReadOutcome> read(
                Topic topic, long fromOffset, long waitMillis, long timeoutMillis) {
            if (mFailingReadCount > 0) {
                mFailingReadCount--;
                return later(0).thenApply(
                                unused -> {
                                    throw new IllegalStateException("the answer cannot be decoded");
                                });
            }
            if (mHistoryGone) {
                mHistoryGone = false;
                return later(new ReadOutcome.HistoryGone());
            }
            return fromOffset > 3
                    ? later(new ReadOutcome.Records(List.of(), 4))
                    : later(new ReadOutcome.Records(List.of(record("new")), 4));
        }

        @Override
        public CompletableFuture<NewestOutcome> newest(
                Topic topic, String afterKey, long timeoutMillis) {
            mPageCount++;
            return afterKey.isEmpty() || afterKey.equals("loop")
                    ? later(new NewestOutcome.Page(List.of(record("a"), record(mOddKey)), true, 3))
                    : later(
                            mSecondPageMillis,
                            new NewestOutcome.Page(List.of(record("b")), false, 3));
        }

        private static KeyedRecord record(String key) {
            return new KeyedRecord(key, new byte[] {1});
        }
    }

    /** Guards against a load that begins again for ever because the last key of a page is empty. */
    @Test
    void aPageThatEndsWithAnEmptyKeyIsFollowedByTheNextOne() {
        mFollower.start();
        mLoop.advance(1_000);

        assertTrue(mFollower.isLoaded());
        assertTrue(mKeys.containsAll(List.of("a", "b", "new")));
        assertEquals(2, mStore.mPageCount);
    }

    /** Guards against a load that never ends because a key cannot be told from the one before. */
    @Test
    void aPageThatBringsNoFurtherKeyIsTheLastOne() {
        mStore.mOddKey = "loop";
        mFollower.start();
        mLoop.advance(1_000);

        assertTrue(mFollower.isLoaded());
        assertTrue(mKeys.contains("new"));
    }

    /** Guards against a follower that stops for ever when an answer cannot be decoded. */
    @Test
    void aFollowerReadsOnAfterAnAnswerThatCannotBeDecoded() {
        mStore.mOddKey = "odd";
        mStore.mFailingReadCount = 2;
        mFollower.start();
        mLoop.advance(2_000);

        assertTrue(mKeys.contains("new"));
    }

    /**
     * Guards against a view that counts as new while it is still loaded: an entry would accept keys
     * that the first page of a compacted topic no longer holds.
     */
    @Test
    void theContentIsAsOldAsBeforeUntilItIsLoadedAnew() {
        mStore.mOddKey = "odd";
        mFollower.start();
        mLoop.advance(500);
        assertTrue(mFollower.ageMillis() < 100);
        mStore.mSecondPageMillis = 2_500;
        mStore.mHistoryGone = true;

        mLoop.advance(2_000);
        assertTrue(mFollower.ageMillis() >= 1_900);

        mLoop.advance(1_000);
        assertTrue(mFollower.ageMillis() < 1_000);
    }
}
