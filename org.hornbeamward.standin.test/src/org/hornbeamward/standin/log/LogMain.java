package org.hornbeamward.standin.log;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the log stand-in until the process is stopped; prints {@code listening <port>}. */
@Command(
        name = "standin-log",
        mixinStandardHelpOptions = true,
        description = "Stand-in for the platform's log service.")
public final class LogMain implements Callable<Integer> {
    @Option(names = "--port", defaultValue = "0", description = "Port, 0 for any free one.")
    private int mPort;

    @Option(names = "--retain", defaultValue = "100000", description = "Records kept per stream.")
    private int mRetainCount;

    /** Creates the command; picocli fills its options. */
    public LogMain() {}

    /**
     * Starts the program.
     *
     * @param arguments options as listed by {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new LogMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        try (LogStandIn standIn = new LogStandIn(mPort)) {
            standIn.setFaults(LogFaults.NONE.withRetainCount(mRetainCount));
            System.out.println("listening " + standIn.port());
            Thread.currentThread().join();
        }
        return 0;
    }
}
