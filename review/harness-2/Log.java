import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
final class Log {
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter sWriter;

    private Log() {}

    static synchronized void open(Path file) throws IOException {
        sWriter = new PrintWriter(file.toFile(), "UTF-8");
    }

    static synchronized void line(String who, String what) {
        String text = what.length() > 400 ? what.substring(0, 400) + " ..." : what;
        sWriter.println(String.format(Locale.ROOT, "%8.3f %s: %s", millis() / 1000.0, who, text));
        sWriter.flush();
    }

    /** Milliseconds since the start, on a monotonic clock. */
    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sleeps until a time on the clock of {@link #millis}. */
    static void sleepUntil(long millis) {
        sleep(millis - millis());
    }
}
