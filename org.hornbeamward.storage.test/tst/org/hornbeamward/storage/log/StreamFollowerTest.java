package org.hornbeamward.storage.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.RingFull;
import org.hornbeamward.kernel.Kernel;
import org.hornbeamward.kernel.Ring;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.standin.log.LogFaults;
import org.hornbeamward.standin.log.LogStandIn;
import org.hornbeamward.storage.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against missed or duplicated records and against wrong times of end events. */
class StreamFollowerTest {
    private final List<FollowEvent> mEvents = new CopyOnWriteArrayList<>();
    private LogStandIn mLog;
    private HttpLogClient mClient;
    private Kernel mKernel;

    @BeforeEach
    void start() throws InterruptedException {
        mLog = new LogStandIn(0);
        mClient = new HttpLogClient("127.0.0.1", mLog.port(), 2_000);
        mKernel = new Kernel();
    }

    @AfterEach
    void stop() {
        mKernel.close();
        mClient.close();
        mLog.close();
    }

    private StreamFollower follower(LogClient log, FollowSink sink, MonotonicClock clock) {
        JitteredBackoff backoff = new JitteredBackoff(new Random(5), 2, 20);
        return new StreamFollower(log, "control", 0, sink, backoff, clock);
    }

    private StreamFollower startFollower() {
        StreamFollower follower = follower(mClient, this::record, MonotonicClock.SYSTEM);
        mKernel.start(follower);
        return follower;
    }

    private Either<RingFull, Void> record(FollowEvent event) {
        mEvents.add(event);
        return Either.right(null);
    }

    private void append(int from, int to) {
        for (int i = from; i < to; i++) {
            assertEquals(i, mClient.append("control", new byte[] {(byte) i}).join().get());
        }
    }

    private static List<Integer> values(List<FollowEvent> events) {
        List<Integer> values = new ArrayList<>();
        for (FollowEvent event : events) {
            if (event instanceof FollowEvent.RecordRead read) {
                values.add((int) read.bytes()[0]);
            }
        }
        return values;
    }

    private <T extends FollowEvent> List<T> ofType(Class<T> type) {
        return mEvents.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static List<Integer> range(int from, int to) {
        return java.util.stream.IntStream.range(from, to).boxed().toList();
    }

    @Test
    void recordsArriveOnceInOrderAndEachEndIsReported() throws InterruptedException {
        append(0, 20);
        StreamFollower follower = startFollower();
        Await.until("old records are read", () -> follower.recordCount() == 20);
        append(20, 40);
        Await.until("new records are read", () -> follower.recordCount() == 40);
        int before = mEvents.size();
        Await.until("an idle stream reports its end", () -> mEvents.size() > before + 1);
        assertEquals(range(0, 40), values(mEvents));
        assertEquals(40, follower.byteCount());
        List<FollowEvent.ReachedEnd> ends = ofType(FollowEvent.ReachedEnd.class);
        assertEquals(40, ends.get(ends.size() - 1).endOffset());
    }

    @Test
    void outageIsReportedAndNoRecordIsMissedOrRepeated() throws InterruptedException {
        append(0, 5);
        StreamFollower follower = startFollower();
        Await.until("records are read", () -> values(mEvents).size() == 5);
        mLog.setFaults(LogFaults.NONE.withDown(true));
        Await.until("reads fail", () -> ofType(FollowEvent.ReadFailed.class).size() >= 2);
        assertTrue(follower.isUnavailable());
        assertEquals("LogUnavailable", ofType(FollowEvent.ReadFailed.class).get(0).error().kind());
        mLog.setFaults(LogFaults.NONE);
        append(5, 10);
        Await.until("records are read again", () -> values(mEvents).size() == 10);
        assertEquals(range(0, 10), values(mEvents));
    }

    @Test
    void followerBehindRetentionStopsUntilItIsResumed() throws InterruptedException {
        mLog.setFaults(LogFaults.NONE.withRetainCount(3));
        append(0, 10);
        StreamFollower follower = startFollower();
        Await.until("retention is reported", () -> !mEvents.isEmpty());
        append(10, 12);
        FollowEvent.RetentionPassed passed = ofType(FollowEvent.RetentionPassed.class).get(0);
        assertEquals(7, passed.error().earliestOffset());
        assertEquals(1, mEvents.size(), "no event before the follower is resumed");
        follower.resumeFrom(10);
        Await.until("reading continues", () -> values(mEvents).size() == 2);
        assertEquals(List.of(10, 11), values(mEvents));
    }

    @Test
    void fullRingSlowsTheFollowerAndLosesNothing() throws InterruptedException {
        append(0, 100);
        Ring<FollowEvent> ring = new Ring<>("events", 4);
        StreamFollower follower = follower(mClient, ring::offer, MonotonicClock.SYSTEM);
        mKernel.start(follower);
        Await.until("the ring fills up", () -> follower.sinkFullCount() > 0);
        List<FollowEvent> drained = new ArrayList<>();
        while (values(drained).size() < 100) {
            ring.drain(drained::add);
            Thread.sleep(1);
        }
        assertEquals(range(0, 100), values(drained));
    }

    @Test
    void endTimeIsTheTimeTheReadWasSent() throws InterruptedException {
        AtomicLong nowNanos = new AtomicLong(1_000);
        CompletableFuture<Either<HornbeamwardError, LogRead>> result = new CompletableFuture<>();
        StreamFollower follower = follower(new SingleReadLog(result), this::record, nowNanos::get);
        follower.runOnce();
        nowNanos.set(9_000);
        LogRecord record = new LogRecord(0, new byte[] {1});
        result.complete(Either.right(new LogRead(0, 1, List.of(record))));
        follower.runOnce();
        follower.runOnce();
        assertEquals(new FollowEvent.ReachedEnd(1_000, 1), mEvents.get(1));
    }

    @Test
    void readThatStopsBeforeTheEndReportsNoEnd() throws InterruptedException {
        CompletableFuture<Either<HornbeamwardError, LogRead>> result = new CompletableFuture<>();
        StreamFollower follower =
                follower(new SingleReadLog(result), this::record, MonotonicClock.SYSTEM);
        follower.runOnce();
        LogRecord record = new LogRecord(0, new byte[] {1});
        result.complete(Either.right(new LogRead(0, 2, List.of(record))));
        follower.runOnce();
        follower.runOnce();
        assertEquals(1, mEvents.size());
    }

    @Test
    void readIntervalDelaysOnlyReadsAfterTheEndWasReached() throws InterruptedException {
        AtomicLong nowNanos = new AtomicLong(1_000);
        CompletableFuture<Either<HornbeamwardError, LogRead>> result = new CompletableFuture<>();
        SingleReadLog log = new SingleReadLog(result);
        JitteredBackoff backoff = new JitteredBackoff(new Random(5), 2, 20);
        StreamFollower follower =
                new StreamFollower(log, "control", 0, this::record, backoff, nowNanos::get, 50);
        follower.runOnce();
        result.complete(Either.right(new LogRead(0, 0, List.of())));
        for (int i = 0; i < 5; i++) {
            follower.runOnce();
        }
        assertEquals(1, log.mReadCount);
        nowNanos.addAndGet(50_000_000);
        follower.runOnce();
        assertEquals(2, log.mReadCount);
    }

    /** Returns a future of the test for the first read; later reads never complete. */
    private static final class SingleReadLog implements LogClient {
        private CompletableFuture<Either<HornbeamwardError, LogRead>> mNextResult;
        private int mReadCount;

        SingleReadLog(CompletableFuture<Either<HornbeamwardError, LogRead>> first) {
            mNextResult = first;
        }

        @Override
        public CompletableFuture<Either<HornbeamwardError, Long>> append(
                String stream, byte[] record) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Either<HornbeamwardError, LogRead>> read(
                String stream, long fromOffset, int waitMillis, int maxBytes) {
            mReadCount++;
            CompletableFuture<Either<HornbeamwardError, LogRead>> result = mNextResult;
            mNextResult = new CompletableFuture<>();
            return result;
        }

        @Override
        public CompletableFuture<Either<HornbeamwardError, LogBounds>> bounds(String stream) {
            throw new UnsupportedOperationException();
        }
    }
}
