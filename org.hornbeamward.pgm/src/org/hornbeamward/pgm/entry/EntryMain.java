package org.hornbeamward.pgm.entry;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.pgm.settings.EntrySettings;
import org.hornbeamward.pgm.settings.SettingsLoader;
import org.tinylog.configuration.Configuration;
import picocli.CommandLine;

/** The program {@code hornbeamward-entry}. */
@CommandLine.Command(
        name = "hornbeamward-entry",
        mixinStandardHelpOptions = true,
        description = "Runs an entry instance.")
public final class EntryMain implements Callable<Integer> {
    private static final int BAD_SETTINGS = 2;

    @CommandLine.Option(
            names = "--settings",
            required = true,
            description = "Settings file in JSON with comments.")
    private Path mSettings = Path.of("");

    /** Creates the program. */
    public EntryMain() {}

    /**
     * Starts the program.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        int code = new CommandLine(new EntryMain()).execute(arguments);
        if (code != 0) {
            System.exit(code);
        }
    }

    @Override
    public Integer call() throws InterruptedException {
        return SettingsLoader.load(mSettings).fold(this::report, this::run);
    }

    private int report(HornbeamwardError error) {
        System.err.println(mSettings + ": " + error.message());
        return BAD_SETTINGS;
    }

    private int run(EntrySettings settings) {
        Configuration.set("writer", "console");
        Configuration.set("writer.format", "{date: yyyy-MM-dd HH:mm:ss.SSS} {level} {message}");
        Configuration.set("level", settings.logLevel().name().toLowerCase(Locale.ROOT));
        CountDownLatch stopped = new CountDownLatch(1);
        try {
            EntryProcess process = new EntryProcess(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process, stopped)));
            LogEvent.PROCESS_STARTED.log("hornbeamward-entry");
            System.out.println(
                    "listening request "
                            + process.requestPort()
                            + " admin "
                            + process.adminPort()
                            + " peer "
                            + process.peerPort());
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private static void stop(EntryProcess process, CountDownLatch stopped) {
        try {
            process.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            stopped.countDown();
        }
    }
}
