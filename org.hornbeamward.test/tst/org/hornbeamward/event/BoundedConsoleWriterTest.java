package org.hornbeamward.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;

/** Tests of the log writer under load, with standard output writable and blocked. */
class BoundedConsoleWriterTest {
    private final CountDownLatch mGate = new CountDownLatch(1);
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private long mNanos;

    /** A stream that blocks printing until the gate is opened. */
    private final class GatedStream extends PrintStream {
        GatedStream() {
            super(mBytes, true, StandardCharsets.UTF_8);
        }

        @Override
        public void print(Object text) {
            try {
                mGate.await();
            } catch (InterruptedException e) {
                // The writer is being closed.
            }
            super.print(text);
        }
    }

    private BoundedConsoleWriter writer() {
        return new BoundedConsoleWriter("{level} {message}", new GatedStream(), () -> mNanos);
    }

    private static LogEntry line(Level level, String message) {
        return new LogEntry(
                null, Thread.currentThread(), Map.of(), "", "", "", 0, null, level, message, null);
    }

    private long writtenLineCount(String word) {
        return mBytes.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(word))
                .count();
    }

    /** Guards against log output that grows with the load. */
    @Test
    void linesBeyondTheBudgetAreDroppedAndCounted() throws InterruptedException {
        mGate.countDown();
        BoundedConsoleWriter writer = writer();
        for (int index = 0; index < BoundedConsoleWriter.BURST_LINES + 100; index++) {
            writer.write(line(Level.INFO, "order"));
        }
        writer.close();
        assertEquals(BoundedConsoleWriter.BURST_LINES, writtenLineCount("order"));
        assertEquals(1, writtenLineCount("HW106 100 log lines were dropped"));
    }

    /** Guards against a budget that is not refilled after a burst, so that later lines are lost. */
    @Test
    void theBudgetIsRefilledOverTime() throws InterruptedException {
        mGate.countDown();
        BoundedConsoleWriter writer = writer();
        for (int index = 0; index < BoundedConsoleWriter.BURST_LINES + 1; index++) {
            writer.write(line(Level.INFO, "first"));
        }
        mNanos += 1_000_000_000L;
        for (int index = 0; index < BoundedConsoleWriter.LINES_PER_SECOND + 1; index++) {
            writer.write(line(Level.INFO, "second"));
        }
        writer.close();
        assertEquals(BoundedConsoleWriter.LINES_PER_SECOND, writtenLineCount("second"));
    }

    /** Guards against dropped warnings after lines about decisions have used up the budget. */
    @Test
    void warningsAreKeptWhenTheBudgetIsSpent() throws InterruptedException {
        mGate.countDown();
        BoundedConsoleWriter writer = writer();
        for (int index = 0; index < BoundedConsoleWriter.BURST_LINES + 1; index++) {
            writer.write(line(Level.INFO, "order"));
        }
        writer.write(line(Level.WARN, "store"));
        writer.close();
        assertEquals(1, writtenLineCount("WARN store"));
    }

    /** Guards against a process that blocks, or runs out of memory, while its output is blocked. */
    @Test
    void aBlockedOutputDoesNotBlockCallers() throws InterruptedException {
        BoundedConsoleWriter writer = writer();
        int count = 3 * BoundedConsoleWriter.QUEUE_LINES;
        for (int index = 0; index < count; index++) {
            writer.write(line(Level.WARN, "store"));
        }
        assertFalse(writtenLineCount("store") > 0);
        mGate.countDown();
        writer.close();
        assertTrue(writtenLineCount("store") <= 2 * BoundedConsoleWriter.QUEUE_LINES);
        assertEquals(1, writtenLineCount("log lines were dropped"));
    }
}
