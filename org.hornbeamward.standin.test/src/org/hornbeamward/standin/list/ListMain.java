package org.hornbeamward.standin.list;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the list stand-in until the process is stopped; prints {@code listening <port>}. */
@Command(
        name = "standin-list",
        mixinStandardHelpOptions = true,
        description = "Stand-in for the platform's instance list.")
public final class ListMain implements Callable<Integer> {
    @Option(names = "--port", defaultValue = "0", description = "Port, 0 for any free one.")
    private int mPort;

    /** Creates the command; picocli fills its options. */
    public ListMain() {}

    /**
     * Starts the program.
     *
     * @param arguments options as listed by {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ListMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        try (ListStandIn standIn = new ListStandIn(mPort)) {
            System.out.println("listening " + standIn.port());
            Thread.currentThread().join();
        }
        return 0;
    }
}
