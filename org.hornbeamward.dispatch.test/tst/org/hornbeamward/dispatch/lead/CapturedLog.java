package org.hornbeamward.dispatch.lead;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hornbeamward.event.LogEvent;

/** Collects the lines that are logged until it is closed, and passes them on. */
public final class CapturedLog implements AutoCloseable {
    private final PrintStream mOut = System.out;
    private final PrintStream mErr = System.err;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

    /** Starts collecting. */
    public CapturedLog() {
        PrintStream stream = new PrintStream(mBytes, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    /** Returns the lines of an event, in order. */
    public List<String> lines(LogEvent event) {
        return mBytes.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("HW" + event.number() + " "))
                .toList();
    }

    @Override
    public void close() {
        System.setOut(mOut);
        System.setErr(mErr);
        mOut.print(mBytes.toString(StandardCharsets.UTF_8));
    }
}
