package org.hornbeamward.standin.proxy;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the fault-injecting proxy until the process is stopped. Prints {@code listening <port>} and
 * then {@code control <port>}.
 */
@Command(
        name = "standin-proxy",
        mixinStandardHelpOptions = true,
        description = "TCP proxy that injects network faults.")
public final class ProxyMain implements Callable<Integer> {
    @Option(names = "--port", defaultValue = "0", description = "Port, 0 for any free one.")
    private int mPort;

    @Option(
            names = "--control-port",
            defaultValue = "0",
            description = "Port of POST /faults, 0 for any free one.")
    private int mControlPort;

    @Option(names = "--target-host", defaultValue = "127.0.0.1", description = "Target host.")
    private String mTargetHost = "";

    @Option(names = "--target-port", required = true, description = "Target port.")
    private int mTargetPort;

    /** Creates the command; picocli fills its options. */
    public ProxyMain() {}

    /**
     * Starts the program.
     *
     * @param arguments options as listed by {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new ProxyMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        InetSocketAddress target = new InetSocketAddress(mTargetHost, mTargetPort);
        try (ProxyStandIn standIn = new ProxyStandIn(mPort, mControlPort, target)) {
            System.out.println("listening " + standIn.port());
            System.out.println("control " + standIn.controlPort());
            Thread.currentThread().join();
        }
        return 0;
    }
}
