package org.hornbeamward.standin.worker;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.transport.http.HttpServer;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs stand-in workers in one process. Prints {@code listening <worker> <port>} for each and then
 * {@code control <port>}.
 */
@Command(name = "standin-worker", description = "Runs stand-in workers.")
public final class WorkerMain implements Callable<Integer> {
    private static final int MAX_FAULTS_BYTES = 64 * 1024;

    @Option(names = "--host", description = "Address to bind.")
    private String mHost = "127.0.0.1";

    @Option(names = "--port", description = "Port of the first worker; 0 for any free ports.")
    private int mPort;

    @Option(names = "--control-port", description = "Port of the HTTP control; 0 for any.")
    private int mControlPort;

    @Option(names = "--prefix", description = "Workers are named PREFIX1, PREFIX2 and so on.")
    private String mPrefix = "w";

    @Option(names = "--count", description = "Number of workers.")
    private int mCount = 1;

    @Option(
            names = "--failure-domain",
            split = ",",
            description = "DOMAIN:REGION, dealt to the workers in turn.")
    private List<String> mFailureDomains = List.of("d1:r1");

    @Option(names = "--rack-size", description = "Workers of a failure domain in one rack.")
    private int mRackSize = 6;

    @Option(names = "--cpu-millicores", description = "Processors of a worker.")
    private long mCpuMillicores = 16_000;

    @Option(names = "--memory-mib", description = "Memory of a worker.")
    private long mMemoryMib = 61_440;

    @Option(names = "--accelerators", description = "Accelerators of a worker.")
    private int mAcceleratorCount;

    @Option(names = "--seed", description = "Decides run times, slowdowns and noise.")
    private long mSeed = 1;

    /** Creates the command; picocli fills its options. */
    public WorkerMain() {}

    /**
     * Runs the program until the process is stopped.
     *
     * @param arguments options as listed by {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new WorkerMain()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException {
        EventLoopGroup eventLoops = new NioEventLoopGroup(2);
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        EventRecord events = new EventRecord();
        List<StandinWorker> workers = new ArrayList<>();
        for (int index = 0; index < mCount; index++) {
            int port = mPort == 0 ? 0 : mPort + index;
            StandinWorker worker =
                    new StandinWorker(
                            eventLoops, executor, mHost, port, identity(index), mSeed, events);
            workers.add(worker);
            System.out.println("listening " + worker.identity().worker() + " " + worker.port());
        }
        HttpServer control =
                new HttpServer(
                        mHost,
                        mControlPort,
                        1,
                        MAX_FAULTS_BYTES,
                        new WorkerControl(workers, events));
        System.out.println("control " + control.port());
        System.out.flush();
        new CountDownLatch(1).await();
        return 0;
    }

    private WorkerIdentity identity(int index) {
        String[] domainAndRegion =
                mFailureDomains.get(index % mFailureDomains.size()).split(":", 2);
        int indexInDomain = index / mFailureDomains.size();
        return new WorkerIdentity(
                WorkerId.parse(mPrefix + (index + 1)).get(),
                FailureDomainId.parse(domainAndRegion[0]).get(),
                RegionId.parse(domainAndRegion.length > 1 ? domainAndRegion[1] : "r1").get(),
                domainAndRegion[0] + "-rack" + (indexInDomain / mRackSize + 1),
                new Resources(mCpuMillicores, mMemoryMib, mAcceleratorCount));
    }
}
