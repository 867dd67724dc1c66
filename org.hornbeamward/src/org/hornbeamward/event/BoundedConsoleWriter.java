package org.hornbeamward.event;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.pattern.FormatPatternParser;
import org.tinylog.pattern.Token;
import org.tinylog.writers.Writer;

/**
 * Writes log lines to standard output on a dedicated thread. Callers never block: lines beyond the
 * rate limit or the queue capacity are dropped, and their number is logged. Registered with tinylog
 * under the name {@code bounded console}.
 */
public final class BoundedConsoleWriter implements Writer {
    /**
     * Rate limit for lines below level WARN: four lines for each of the target's 46 task starts per
     * second, doubled.
     */
    static final int LINES_PER_SECOND = 400;

    /** Lines accepted at once after an idle period; a change of leaders needs such a burst. */
    static final int BURST_LINES = 2_000;

    /** Capacity of the queue, which fills while standard output is blocked; about 1 MB. */
    static final int QUEUE_LINES = 4_000;

    /** Time to collect lines into one write, which saves thread wake-ups and system calls. */
    private static final long BATCH_DELAY_MILLIS = 20;

    /** Maximum wait for the last lines to be written when the process ends. */
    private static final long CLOSE_TIMEOUT_MILLIS = 200;

    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final String DEFAULT_FORMAT = "{date: HH:mm:ss.SSS} {level} {message}";

    private final Token mToken;
    private final PrintStream mOutput;
    private final LongSupplier mNanos;
    private final BlockingQueue<LogEntry> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Thread mThread;
    private double mBudgetLines = BURST_LINES;
    private long mBudgetRefillNanos;
    private long mDroppedCount;
    private volatile boolean mClosed;

    /**
     * Creates the writer; called by tinylog.
     *
     * @param properties the writer's configuration; {@code format} may be set
     */
    public BoundedConsoleWriter(Map<String, String> properties) {
        this(properties.getOrDefault("format", DEFAULT_FORMAT), System.out, System::nanoTime);
    }

    BoundedConsoleWriter(String format, PrintStream output, LongSupplier nanos) {
        mToken = new FormatPatternParser(null).parse(format);
        mOutput = output;
        mNanos = nanos;
        mBudgetRefillNanos = nanos.getAsLong();
        mThread = new Thread(this::run, "log");
        mThread.setDaemon(true);
        mThread.start();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        Collection<LogEntryValue> values = EnumSet.of(LogEntryValue.LEVEL);
        values.addAll(mToken.getRequiredLogEntryValues());
        return values;
    }

    @Override
    public synchronized void write(LogEntry entry) {
        if (entry.getLevel().ordinal() < Level.WARN.ordinal() && !takeFromBudget()) {
            mDroppedCount++;
        } else if (!mQueue.offer(entry)) {
            mDroppedCount++;
        }
    }

    private boolean takeFromBudget() {
        long now = mNanos.getAsLong();
        double refill = (double) (now - mBudgetRefillNanos) / NANOS_PER_SECOND * LINES_PER_SECOND;
        mBudgetRefillNanos = now;
        mBudgetLines = Math.min(BURST_LINES, mBudgetLines + refill);
        if (mBudgetLines < 1) {
            return false;
        }
        mBudgetLines--;
        return true;
    }

    private synchronized long getAndResetDroppedCount() {
        long count = mDroppedCount;
        mDroppedCount = 0;
        return count;
    }

    private void run() {
        List<LogEntry> batch = new ArrayList<>();
        try {
            while (!mClosed) {
                batch.add(mQueue.take());
                TimeUnit.MILLISECONDS.sleep(BATCH_DELAY_MILLIS);
                flush(batch);
            }
        } catch (InterruptedException e) {
            // The writer is being closed; the queued lines are written below.
            Thread.currentThread().interrupt();
        }
        flush(batch);
    }

    private void flush(List<LogEntry> batch) {
        mQueue.drainTo(batch);
        StringBuilder text = new StringBuilder();
        for (LogEntry entry : batch) {
            mToken.render(entry, text);
            text.append(System.lineSeparator());
        }
        batch.clear();
        long droppedCount = getAndResetDroppedCount();
        if (droppedCount > 0) {
            text.append(LogEvent.LOG_DROPPED.text(droppedCount)).append(System.lineSeparator());
        }
        if (!text.isEmpty()) {
            mOutput.print(text);
            mOutput.flush();
        }
    }

    @Override
    public void flush() {
        // The writer thread writes queued lines within 20 ms.
    }

    @Override
    public void close() throws InterruptedException {
        mClosed = true;
        mThread.interrupt();
        mThread.join(CLOSE_TIMEOUT_MILLIS);
    }
}
