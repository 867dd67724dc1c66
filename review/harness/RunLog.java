import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. */
final class RunLog {
    private static PrintWriter sWriter;

    private RunLog() {}

    static synchronized void open(Path file) throws IOException {
        sWriter = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static synchronized void line(String who, String what) {
        String line = String.format(Locale.ROOT, "%8.3f  %-10s  %s", Clock.millis() / 1e3, who, what);
        if (sWriter != null) {
            sWriter.println(line);
        }
    }
}
