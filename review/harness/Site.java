import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: entries, the store, minions and one queue. */
final class Site implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "frame-desk";
    static final long HEARTBEAT_MILLIS = 1_500;
    static final long HOLD_MAX_MILLIS = 6_000;

    /** Whether the disruption of the case takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path mFolder = Files.createTempDirectory("review");
    final Store mStore = new Store("127.0.0.1", HEARTBEAT_MILLIS);
    final List<Entry> mEntries = new ArrayList<>();
    final List<Minion> mMinions = new ArrayList<>();
    private final Random mRandom = new Random();

    Site(int entryCount) throws IOException {
        int port = freePort(entryCount);
        for (int i = 0; i < entryCount; i++) {
            String host = host(i);
            mEntries.add(
                    new Entry(
                            mFolder,
                            "edge-" + i,
                            host,
                            port,
                            "kgl-" + i,
                            "127.0.0.1:" + mStore.port()));
        }
    }

    private static String host(int entry) {
        return "127.0.0." + (2 + entry);
    }

    /** Returns the first of four ports that are free on the addresses of all entries. */
    private static int freePort(int entryCount) throws IOException {
        for (int port = 20_000 + new Random().nextInt(8_000); port < 32_000; port += 20) {
            boolean free = true;
            for (int i = 0; i < 4 * entryCount && free; i++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(host(i / 4), port + i % 4));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no free ports");
    }

    Minion addMinion(String id, String zone, List<String> labels, int cpu) {
        Minion minion =
                new Minion(
                        mStore,
                        "127.0.0.1",
                        id,
                        SERVICE,
                        zone,
                        labels,
                        cpu,
                        HEARTBEAT_MILLIS,
                        HOLD_MAX_MILLIS);
        mMinions.add(minion);
        return minion;
    }

    void putConfig(int version) {
        String config =
                "{\"version\":"
                        + version
                        + ",\"routes\":[{\"name\":\"r-wrr6x73\",\"host\":\""
                        + HOST
                        + "\",\"prefix\":\""
                        + PREFIX
                        + "\",\"kind\":\"unsafe\",\"timeout_ms\":3000,"
                        + "\"completion_target_ms\":250,\"priority\":0,\"service\":\""
                        + SERVICE
                        + "\",\"attempts\":3,\"slack_factor\":1.5}],"
                        + "\"services\":[{\"name\":\""
                        + SERVICE
                        + "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\","
                        + "\"tls\":false,\"warmup_s\":0.0,\"cold_per_s\":0.0,"
                        + "\"admission_check\":true,\"standby\":false}],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
        mStore.put("keyed.op", "config", config.getBytes(StandardCharsets.UTF_8));
        RunLog.line("operator", "configuration " + version + " acknowledged");
    }

    /** Starts all processes and waits until one leads and all are ready. */
    void start() throws IOException {
        putConfig(1);
        for (Minion minion : mMinions) {
            minion.start();
        }
        for (Entry entry : mEntries) {
            entry.start();
        }
        if (!await(
                30_000,
                () -> mEntries.stream().allMatch(Entry::isReady) && leader() != null)) {
            throw new IOException("the entries did not become ready");
        }
        // Calm time before the case begins; stable_window_ms is 3,000.
        Clock.sleep(4_000);
    }

    /** Returns the entry that leads, if there is one. */
    Entry leader() {
        return mEntries.stream()
                .filter(entry -> entry.isLeading() && entry.state().contains("leader epoch="))
                .findFirst()
                .orElse(null);
    }

    String newJob() {
        return String.format("%016x", mRandom.nextLong());
    }

    /** Returns the runs of a job on all minions, oldest first. */
    List<Minion.Run> runs(String job) {
        List<Minion.Run> runs = new ArrayList<>();
        mMinions.forEach(minion -> runs.addAll(minion.runs(job)));
        runs.sort(Comparator.comparingLong(Minion.Run::from));
        return runs;
    }

    static boolean await(long millis, BooleanSupplier condition) {
        long until = Clock.millis() + millis;
        while (Clock.millis() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Clock.sleep(50);
        }
        return condition.getAsBoolean();
    }

    @Override
    public void close() {
        mEntries.forEach(Entry::kill);
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs of the entries: " + mFolder);
            return;
        }
        try (Stream<Path> files = Files.list(mFolder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(mFolder);
        } catch (IOException e) {
            System.err.println("the temporary folder remains: " + e);
        }
    }

    /** The body of a case; returns whether the rule held. */
    interface Case {
        boolean run(Site site) throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if it could not run. */
    static void main(String[] arguments, int entryCount, Case body) {
        int code;
        try {
            RunLog.open(Path.of(arguments[0]));
            RunLog.line("case", "times are seconds since the start of the run");
            RunLog.line("case", TROUBLE ? "with the disruption" : "without the disruption");
            try (Site site = new Site(entryCount)) {
                Thread hook = new Thread(() -> site.mEntries.forEach(Entry::kill));
                Runtime.getRuntime().addShutdownHook(hook);
                code = body.run(site) ? 0 : 1;
            }
        } catch (Exception e) {
            RunLog.line("case", "could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        RunLog.line("case", code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "could not run");
        System.out.println("exit " + code);
        Runtime.getRuntime().halt(code);
    }
}
