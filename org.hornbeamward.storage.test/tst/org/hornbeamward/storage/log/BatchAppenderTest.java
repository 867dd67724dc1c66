package org.hornbeamward.storage.log;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.kernel.Kernel;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.standin.log.LogFaults;
import org.hornbeamward.standin.log.LogStandIn;
import org.hornbeamward.storage.Await;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against commands that are lost, duplicated or reordered between appender and reader. */
class BatchAppenderTest {
    /** Counts the appends that are sent, whether or not they arrive. */
    private static final class CountingLogClient implements LogClient {
        private final LogClient mDelegate;
        private final AtomicInteger mAppendCount = new AtomicInteger();

        CountingLogClient(LogClient delegate) {
            mDelegate = delegate;
        }

        @Override
        public CompletableFuture<Either<HornbeamwardError, Long>> append(
                String stream, byte[] record) {
            mAppendCount.incrementAndGet();
            return mDelegate.append(stream, record);
        }

        @Override
        public CompletableFuture<Either<HornbeamwardError, LogRead>> read(
                String stream, long fromOffset, int waitMillis, int maxBytes) {
            return mDelegate.read(stream, fromOffset, waitMillis, maxBytes);
        }

        @Override
        public CompletableFuture<Either<HornbeamwardError, LogBounds>> bounds(String stream) {
            return mDelegate.bounds(stream);
        }
    }

    private final List<String> mOversizedCommands = new CopyOnWriteArrayList<>();
    private LogStandIn mLog;
    private HttpLogClient mClient;
    private CountingLogClient mCountingClient;
    private BatchAppender<String> mAppender;
    private Kernel mKernel;

    @BeforeEach
    void start() throws InterruptedException {
        mLog = new LogStandIn(0);
        mClient = new HttpLogClient("127.0.0.1", mLog.port(), 250);
        mCountingClient = new CountingLogClient(mClient);
        mAppender =
                new BatchAppender<>(
                        mCountingClient,
                        "control",
                        8192,
                        5,
                        BatchAppenderTest::encode,
                        (command, error) -> mOversizedCommands.add(command),
                        new JitteredBackoff(new Random(3), 2, 20),
                        MonotonicClock.SYSTEM);
        mKernel = new Kernel();
    }

    @AfterEach
    void stop() {
        mKernel.close();
        mClient.close();
        mLog.close();
    }

    private static byte[] encode(long sequence, List<String> commands) {
        String text = sequence + ":" + String.join(",", commands);
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the commands as a reader that ignores repeated sequences sees them. */
    private List<String> deduplicatedCommands() {
        List<String> commands = new ArrayList<>();
        long lastSequence = 0;
        for (LogRecord record : mLog.records("control")) {
            String[] parts = new String(record.bytes(), StandardCharsets.UTF_8).split(":", 2);
            if (Long.parseLong(parts[0]) == lastSequence + 1) {
                lastSequence++;
                commands.addAll(Arrays.asList(parts[1].split(",")));
            }
        }
        return commands;
    }

    private List<String> offer(int from, int to) {
        List<String> commands = IntStream.range(from, to).mapToObj(i -> "c" + i).toList();
        commands.forEach(command -> assertTrue(mAppender.offer(command).isRight()));
        return commands;
    }

    private void awaitAllStored() throws InterruptedException {
        Await.until("all commands are in the log", () -> mAppender.queueDepth() == 0);
    }

    @Test
    void lostResponsesGiveEachCommandExactlyOnceInOrder() throws InterruptedException {
        mLog.setFaults(LogFaults.NONE.withLoseFraction(0.4, 7));
        mKernel.start(mAppender);
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            expected.addAll(offer(i * 50, i * 50 + 50));
            awaitAllStored();
        }
        assertEquals(expected, deduplicatedCommands());
        assertTrue(mAppender.resendCount() > 0, "the seed loses some responses");
        int sentCount = mCountingClient.mAppendCount.get();
        assertEquals(mAppender.batchCount() + mAppender.resendCount(), sentCount);
        // A request that times out while its connection is made does not arrive.
        long arrivedCount = mLog.events().countOf("append");
        assertTrue(arrivedCount <= sentCount, arrivedCount + " of " + sentCount + " arrived");
    }

    @Test
    void resentBatchIsUnchanged() throws InterruptedException {
        mLog.setFaults(LogFaults.NONE.withLoseNextAnswers(2));
        mKernel.start(mAppender);
        offer(0, 10);
        Await.until("the batch was sent", () -> mLog.events().countOf("append") > 0);
        offer(10, 20);
        awaitAllStored();
        List<LogRecord> records = mLog.records("control");
        assertArrayEquals(records.get(0).bytes(), records.get(1).bytes());
        assertArrayEquals(records.get(0).bytes(), records.get(2).bytes());
        assertEquals(20, deduplicatedCommands().size());
    }

    @Test
    void confirmationByTheReaderStopsResending() throws InterruptedException {
        mLog.setFaults(LogFaults.NONE.withLoseFraction(1, 1));
        mKernel.start(mAppender);
        offer(0, 5);
        Await.until("the batch is resent", () -> mAppender.resendCount() > 0);
        assertTrue(mAppender.isUnavailable());
        mAppender.confirm(1);
        awaitAllStored();
        assertFalse(mAppender.isUnavailable());
        assertEquals(1, mAppender.batchCount());
    }

    @Test
    void outageDelaysCommandsAndLosesNone() throws InterruptedException {
        mLog.setFaults(LogFaults.NONE.withDown(true));
        mKernel.start(mAppender);
        List<String> expected = offer(0, 3000);
        Await.until("the outage is detected", mAppender::isUnavailable);
        assertEquals(3000, mAppender.queueDepth());
        mLog.setFaults(LogFaults.NONE);
        awaitAllStored();
        assertFalse(mAppender.isUnavailable());
        assertEquals(expected, deduplicatedCommands());
    }

    @Test
    void commandsOfferedTogetherShareABatchOfAtMost1024() throws InterruptedException {
        offer(0, 3000);
        mKernel.start(mAppender);
        awaitAllStored();
        List<Integer> sizes =
                mLog.records("control").stream()
                        .map(r -> new String(r.bytes(), StandardCharsets.UTF_8).split(",").length)
                        .toList();
        assertEquals(List.of(1024, 1024, 952), sizes);
        assertEquals(3, mAppender.batchCount());
    }

    @Test
    void batchNeverExceedsTheRecordSizeAndOversizedCommandsAreRejected()
            throws InterruptedException {
        String large = "x".repeat(100_000);
        String oversized = "y".repeat(LogClient.MAX_RECORD_BYTES);
        List<String> commands = List.of(large, large, large, oversized, large, "small");
        commands.forEach(mAppender::offer);
        mKernel.start(mAppender);
        awaitAllStored();
        assertEquals(List.of(oversized), mOversizedCommands);
        assertEquals(List.of(large, large, large, large, "small"), deduplicatedCommands());
    }

    @Test
    void fullRingRejectsCommandsWithATypedError() {
        for (int i = 0; i < 8192; i++) {
            assertTrue(mAppender.offer("c").isRight());
        }
        assertEquals("RingFull", mAppender.offer("c").getLeft().kind());
        assertEquals(8192, mAppender.queueDepth());
    }
}
