import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of deploy/system.toml. */
final class Entry {
    private static final List<Process> STARTED = new ArrayList<>();
    final String mName;
    private final String mHost;
    private final int mPort;
    private final Path mRoot;
    private final Path mSettings;
    private final File mOutput;
    private Process mProcess;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::endAll));
    }

    Entry(Path root, Path folder, int number, String store) throws IOException {
        mRoot = root;
        mName = "edge-zone-" + number + "-1";
        mHost = "127.0.0." + (10 + number);
        mPort = freePorts(mHost);
        mSettings = folder.resolve(mName + ".conf");
        mOutput = folder.resolve(mName + ".log").toFile();
        String[] lines = {
            "node_name=" + mName,
            "role=entry",
            "machine_class=edge",
            "serves=edge",
            "ip=" + mHost,
            "zone=zone-" + number,
            "region=rw-central",
            "zones.zone-1=rw-central",
            "zones.zone-2=rw-central",
            "listen.frontend=" + mHost + ":" + mPort,
            "listen.readiness=" + mHost + ":" + (mPort + 1),
            "port_range=" + (mPort + 2) + "," + (mPort + 17),
            "seeds=",
            "bootstrap=true",
            "counts_as_loss=false",
            "limits.cpu_share=0.75",
            "limits.cores=1",
            "limits.memory_mb=430",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "limits.disk_mb=0",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=" + Minion.HEARTBEAT_MILLIS,
            "contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
            "fault_tolerance.machines=1",
            "fault_tolerance.zones=1",
            "fault_tolerance.region_count=0",
            "bounds.seed_lag_s=3",
            "bounds.reuse_after_s=2",
            "bounds.stable_window_ms=3000",
            "bounds.ack_ms=4000",
            "bounds.catch_up_s=4",
            "bounds.drain_ms=2000",
            "bounds.grace_s=6",
            "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=2000",
            "bounds.rollback_slack_ms=250",
            "bounds.stretch_max_ms=5000",
            "bounds.evacuate_ms=5000",
            "bounds.recover_s=12",
            "bounds.hold_max_ms=" + Minion.HOLD_MAX_MILLIS,
            "bounds.stop_timeout_ms=200",
            "bounds.gang_timeout_ms=3000",
            "bounds.cancel_ms=3000",
            "bounds.visible_ms=3000",
            "bounds.early_ms=250",
            "bounds.finish_s=14",
            "bounds.status_s=120",
            "bounds.remote_factor=3",
            "bounds.checkpoint_s=2",
            "bounds.restore_ms=600",
            "bounds.notice_ms=4500",
            "bounds.fencing=true",
            "bounds.lease_ms=3000",
            "bounds.pace_ms=100",
            "bounds.impact_ms=4000",
            "control_mode=call",
            "platform.address=" + store,
            "platform.form=log",
            "platform.writes_per_s=800",
            "platform.reads_per_s=2000",
            "platform.parts=16",
            "platform.append_ms=3.0",
            "platform.partition_mb_s=20.0",
            "platform.read_mb_s=80.0",
            "platform.record_bytes=" + Store.RECORD_BYTES,
            "platform.call_bytes=" + Store.CALL_BYTES,
            "platform.keep_s=300",
            "platform.part_mb=200",
            "platform.ttl_min_ms=1000",
        };
        Files.write(mSettings, Arrays.asList(lines));
    }

    private static int freePorts(String host) throws IOException {
        for (int first = 20_000 + 20 * (int) (ProcessHandle.current().pid() % 400); ; first += 20) {
            try {
                for (int port = first; port < first + 4; port++) {
                    new ServerSocket(port, 1, InetAddress.getByName(host)).close();
                }
                return first;
            } catch (BindException e) {
                // The next ports are tried.
            }
        }
    }

    /** Returns the words of the first "run" line of the deploy file. */
    private static List<String> runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run line");
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(runLine(mRoot));
        builder.directory(mRoot.toFile()).redirectErrorStream(true);
        builder.environment().put("HORNBEAMWARD_NODE_FILE", mSettings.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mOutput));
        mProcess = builder.start();
        synchronized (STARTED) {
            STARTED.add(mProcess);
        }
        Log.line(mName, "process " + mProcess.pid() + " started");
    }

    String frontend() {
        return mHost + ":" + mPort;
    }

    boolean isReady() {
        return Web.call("GET", mHost + ":" + (mPort + 1), mHost, "/hornbeamward/ready", "").status()
                == 200;
    }

    boolean isLeading() {
        return metrics().contains("\nhornbeamward_leading 1");
    }

    private String metrics() {
        return Web.call("GET", mHost + ":" + (mPort + 3), mHost, "/metrics", "").body();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    void terminate() {
        Log.line(mName, "SIGTERM to process " + mProcess.pid());
        mProcess.destroy();
    }

    void signal(String name) throws IOException, InterruptedException {
        Log.line(mName, "SIG" + name + " to process " + mProcess.pid());
        new ProcessBuilder("kill", "-" + name, "" + mProcess.pid()).start().waitFor();
    }

    /** Waits for the end of the process; kills it after the grace period. */
    void awaitEnd(long graceMillis) throws InterruptedException {
        if (!mProcess.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            Log.line(mName, "SIGKILL to process " + mProcess.pid());
            mProcess.destroyForcibly().waitFor();
        }
        Log.line(mName, "process " + mProcess.pid() + " ended with " + mProcess.exitValue());
    }

    int exitValue() {
        return mProcess.exitValue();
    }

    long pid() {
        return mProcess.pid();
    }

    /** Returns the lines of the process's log that contain a text. */
    List<String> logLines(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(mOutput.toPath())) {
            if (line.contains(text)) {
                lines.add(line);
            }
        }
        return lines;
    }

    static void endAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
    }
}
