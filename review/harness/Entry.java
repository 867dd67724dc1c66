import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** One entry process of the system, started with the run line of the deploy file. */
final class Entry {
    static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    final String mName;
    final String mHost;
    private final int mPort;
    private final Path mSettings;
    private final Path mFolder;
    private Process mProcess;

    Entry(Path folder, String name, String host, int port, String zone, String storeAddress)
            throws IOException {
        mName = name;
        mHost = host;
        mPort = port;
        mFolder = folder;
        mSettings = folder.resolve(name + ".conf");
        List<String> lines =
                List.of(
                        "node_name=" + name,
                        "role=entry",
                        "machine_class=edge",
                        "serves=edge",
                        "ip=" + host,
                        "zone=" + zone,
                        "region=rw-central",
                        "zones." + zone + "=rw-central",
                        "listen.frontend=" + host + ":" + port,
                        "listen.readiness=" + host + ":" + (port + 1),
                        "port_range=" + (port + 2) + "," + (port + 17),
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
                        "heartbeat_ms=1500",
                        "contracts=base,drain,config,cost,recover,sched,places,platform,sharing",
                        "bounds.stable_window_ms=3000",
                        "bounds.ack_ms=4000",
                        "bounds.drain_ms=2000",
                        "bounds.grace_s=6",
                        "bounds.config_apply_ms=2000",
                        "bounds.hold_max_ms=6000",
                        "bounds.stop_timeout_ms=200",
                        "bounds.stop_timeout_ms=200",
                        "bounds.gang_timeout_ms=3000",
                        "bounds.cancel_ms=3000",
                        "bounds.visible_ms=3000",
                        "bounds.status_s=120",
                        "bounds.checkpoint_s=2",
                        "bounds.restore_ms=600",
                        "control_mode=call",
                        "platform.address=" + storeAddress,
                        "platform.form=log",
                        "platform.keep_s=300");
        Files.write(mSettings, lines);
    }

    void start() throws IOException {
        String run = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.environment().put("HORNBEAMWARD_NODE_FILE", mSettings.toString());
        File log = mFolder.resolve(mName + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        mProcess = builder.start();
        RunLog.line(mName, "process started");
    }

    void kill() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            try {
                mProcess.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            RunLog.line(mName, "process killed");
        }
    }

    int port() {
        return mPort;
    }

    boolean isReady() {
        return get(mPort + 1, "/hornbeamward/ready").startsWith("200");
    }

    boolean isLeading() {
        return get(mPort + 3, "/metrics").contains("\nhornbeamward_leading 1");
    }

    String state() {
        return get(mPort + 3, "/state");
    }

    private String get(int port, String path) {
        try {
            HttpResponse<String> response =
                    CLIENT.send(
                            HttpRequest.newBuilder(URI.create("http://" + mHost + ":" + port + path))
                                    .timeout(Duration.ofSeconds(2))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + "\n" + response.body();
        } catch (IOException e) {
            return "no answer";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "no answer";
        }
    }

    /** Sends a request of a client; returns the status and the body, or why there was none. */
    String call(String method, String path, String body) {
        HttpRequest.BodyPublisher publisher =
                body.isEmpty()
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body);
        String answer;
        try {
            HttpResponse<String> response =
                    CLIENT.send(
                            HttpRequest.newBuilder(
                                            URI.create("http://" + mHost + ":" + mPort + path))
                                    .method(method, publisher)
                                    .header("Host", Site.HOST)
                                    .header("Content-Type", "application/json")
                                    .header("X-Deadline-Ms", "3000")
                                    .timeout(Duration.ofSeconds(3))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            answer = response.statusCode() + " " + response.body();
        } catch (IOException e) {
            answer = "no answer (" + e.getClass().getSimpleName() + ")";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            answer = "no answer";
        }
        RunLog.line("client", method + " " + path + " at " + mName + " -> " + answer);
        return answer;
    }
}
