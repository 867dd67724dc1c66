package org.hornbeamward.standin.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hornbeamward.transport.http.HttpServer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs stand-in endpoints in one process until it is stopped. Prints {@code listening <name>
 * <port>} for each and then {@code control <port>}.
 */
@Command(
        name = "standin-endpoint",
        mixinStandardHelpOptions = true,
        description = "Hosts stand-in endpoints and prints the port of each.")
public final class EndpointMain implements Callable<Integer> {
    private static final int MAX_BODY_BYTES = 1 << 16;

    @Parameters(arity = "1..*", description = "names of the endpoints")
    private List<String> mNames = new ArrayList<>();

    @Option(names = "--seed", description = "seed of service times and faults")
    private long mSeed = 1;

    @Option(names = "--median-millis", description = "median service time")
    private double mMedianMillis = 5;

    /** Creates the command; picocli fills its options. */
    public EndpointMain() {}

    /**
     * Starts the program.
     *
     * @param arguments options as listed by {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new EndpointMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        List<StandinEndpoint> endpoints = new ArrayList<>();
        for (String name : mNames) {
            StandinEndpoint endpoint =
                    new StandinEndpoint(name, 0, mMedianMillis, mSeed, scheduler);
            endpoints.add(endpoint);
            System.out.println("listening " + name + " " + endpoint.port());
        }
        try (HttpServer control =
                new HttpServer("127.0.0.1", 0, 1, MAX_BODY_BYTES, new EndpointControl(endpoints))) {
            System.out.println("control " + control.port());
            System.out.flush();
            Thread.currentThread().join();
        }
        return 0;
    }
}
