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

/** Log lines under load, with standard output free and blocked. */
class BoundedConsoleWriterTest {
    private final CountDownLatch mOpen = new CountDownLatch(1);
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private long mNanos;

    /** A stream that takes nothing until it is opened. */
    private final class GatedStream extends PrintStream {
        GatedStream() {
            super(mBytes, true, StandardCharsets.UTF_8);
        }

        @Override
        public void print(Object text) {
            try {
                mOpen.await();
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

    private long written(String word) {
        return mBytes.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(word))
                .count();
    }

    /** Guards against a log that grows with the load. */
    @Test
    void linesBeyondTheBudgetAreDroppedAndCounted() throws InterruptedException {
        mOpen.countDown();
        BoundedConsoleWriter writer = writer();
        for (int index = 0; index < BoundedConsoleWriter.BURST_LINES + 100; index++) {
            writer.write(line(Level.INFO, "order"));
        }
        writer.close();
        assertEquals(BoundedConsoleWriter.BURST_LINES, written("order"));
        assertEquals(1, written("HW106 100 log lines were dropped"));
    }

    /** Guards against a log that stays silent after a burst. */
    @Test
    void theBudgetComesBackWithTime() throws InterruptedException {
        mOpen.countDown();
        BoundedConsoleWriter writer = writer();
        for (int index = 0; index < BoundedConsoleWriter.BURST_LINES + 1; index++) {
            writer.write(line(Level.INFO, "first"));
        }
        mNanos += 1_000_000_000L;
        for (int index = 0; index < BoundedConsoleWriter.LINES_PER_SECOND + 1; index++) {
            writer.write(line(Level.INFO, "second"));
        }
        writer.close();
        assertEquals(BoundedConsoleWriter.LINES_PER_SECOND, written("second"));
    }

    /** Guards against warnings that are lost among the lines of decisions. */
    @Test
    void warningsAreKeptWhenTheBudgetIsSpent() throws InterruptedException {
        mOpen.countDown();
        BoundedConsoleWriter writer = writer();
        for (int index = 0; index < BoundedConsoleWriter.BURST_LINES + 1; index++) {
            writer.write(line(Level.INFO, "order"));
        }
        writer.write(line(Level.WARN, "store"));
        writer.close();
        assertEquals(1, written("WARN store"));
    }

    /** Guards against a process that stands still, or fills its memory, behind a blocked pipe. */
    @Test
    void aBlockedOutputHoldsUpNobody() throws InterruptedException {
        BoundedConsoleWriter writer = writer();
        int count = 3 * BoundedConsoleWriter.QUEUE_LINES;
        for (int index = 0; index < count; index++) {
            writer.write(line(Level.WARN, "store"));
        }
        assertFalse(written("store") > 0);
        mOpen.countDown();
        writer.close();
        assertTrue(written("store") <= 2 * BoundedConsoleWriter.QUEUE_LINES);
        assertEquals(1, written("log lines were dropped"));
    }
}
