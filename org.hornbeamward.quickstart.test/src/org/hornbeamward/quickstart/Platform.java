package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.standin.endpoint.EndpointMain;
import org.hornbeamward.standin.list.ListMain;
import org.hornbeamward.standin.log.LogMain;
import org.hornbeamward.standin.proxy.ProxyMain;
import org.hornbeamward.standin.worker.WorkerMain;

/** Stand-ins for the platform and the endpoints, each kind in its own process. */
final class Platform {
    private final Http mHttp;
    private final List<ChildProcess> mProcesses = new ArrayList<>();
    private final SortedMap<String, Integer> mWorkers = new TreeMap<>();
    private final SortedMap<String, Integer> mEndpoints = new TreeMap<>();
    private final SortedMap<String, ObjectNode> mListedInstances = new TreeMap<>();
    private int mLogPort;
    private int mProxyPort;
    private int mProxyControlPort;
    private int mListPort;
    private int mWorkerControlPort;
    private int mEndpointControlPort;

    Platform(Http http) {
        mHttp = http;
    }

    void start(Path folder, Deployment deployment, long seed) throws IOException {
        ChildProcess log = start(folder, "standin-log", LogMain.class, List.of());
        ChildProcess list = start(folder, "standin-list", ListMain.class, List.of());
        JsonNode group = deployment.firstWorkerGroup();
        List<String> domains =
                deployment.failureDomains().stream()
                        .map(domain -> domain + ":" + deployment.region())
                        .toList();
        ChildProcess workers =
                start(
                        folder,
                        "standin-worker",
                        WorkerMain.class,
                        List.of(
                                "--count",
                                String.valueOf(deployment.workerCount()),
                                "--failure-domain",
                                String.join(",", domains),
                                "--rack-size",
                                group.path("rackSize").asText(),
                                "--cpu-millicores",
                                String.valueOf(group.path("cpuCount").asInt() * 1_000),
                                "--memory-mib",
                                String.valueOf(group.path("memoryGib").asInt() * 1_024),
                                "--seed",
                                String.valueOf(seed)));
        List<String> endpointArguments = new ArrayList<>(deployment.endpoints());
        endpointArguments.add("--seed=" + seed);
        ChildProcess endpoints =
                start(folder, "standin-endpoint", EndpointMain.class, endpointArguments);
        mLogPort = lastNumber(log.readUntil("listening"));
        startProxy(folder);
        mListPort = lastNumber(list.readUntil("listening"));
        mWorkerControlPort = readPorts(workers.readUntil("control"), mWorkers);
        mEndpointControlPort = readPorts(endpoints.readUntil("control"), mEndpoints);
        mWorkers.forEach((name, port) -> putInstance(name, "worker", port, domains.get(0)));
        mEndpoints.forEach((name, port) -> putInstance(name, "endpoint", port, domains.get(0)));
    }

    /** Starts the proxy between entry instances and the log, which can drop the log's responses. */
    private void startProxy(Path folder) throws IOException {
        ChildProcess proxy =
                start(
                        folder,
                        "standin-proxy",
                        ProxyMain.class,
                        List.of("--target-port", String.valueOf(mLogPort)));
        List<String> lines = proxy.readUntil("control");
        mProxyPort = lastNumber(lines.subList(0, lines.size() - 1));
        mProxyControlPort = lastNumber(lines);
    }

    private ChildProcess start(Path folder, String name, Class<?> main, List<String> arguments)
            throws IOException {
        ChildProcess process =
                new ChildProcess(folder, name, List.of("-Xmx400m"), main.getName(), arguments);
        mProcesses.add(process);
        return process;
    }

    private static int readPorts(List<String> lines, SortedMap<String, Integer> ports) {
        for (String line : lines.subList(0, lines.size() - 1)) {
            String[] words = line.split(" ");
            ports.put(words[1], Integer.parseInt(words[2]));
        }
        return lastNumber(lines);
    }

    private static int lastNumber(List<String> lines) {
        String[] words = lines.get(lines.size() - 1).split(" ");
        return Integer.parseInt(words[words.length - 1]);
    }

    private void putInstance(String id, String kind, int port, String failureDomain) {
        ObjectNode entry = Http.JSON.createObjectNode();
        entry.put("id", id).put("kind", kind).put("address", "127.0.0.1:" + port);
        entry.put("failureDomain", failureDomain.split(":")[0]).put("state", "LIVE");
        mListedInstances.put(id, entry);
    }

    void putEntry(String instance, int port, String failureDomain) {
        putInstance(instance, "entry", port, failureDomain);
    }

    void remove(String id) {
        mListedInstances.remove(id);
    }

    void setLeaving(String id) {
        ObjectNode entry = mListedInstances.get(id);
        if (entry != null) {
            entry.put("state", "LEAVING");
        }
    }

    void publishList() throws IOException, InterruptedException {
        ObjectNode content = Http.JSON.createObjectNode();
        ArrayNode instances = content.putArray("instances");
        mListedInstances.values().forEach(instances::add);
        mHttp.post("http://127.0.0.1:" + mListPort + "/instances", content.toString());
    }

    String logUrl() {
        return "http://127.0.0.1:" + mProxyPort;
    }

    String listUrl() {
        return "http://127.0.0.1:" + mListPort;
    }

    int endpointPort(String endpoint) {
        return mEndpoints.getOrDefault(endpoint, 0);
    }

    void logFaults(String json) throws IOException, InterruptedException {
        mHttp.post("http://127.0.0.1:" + mLogPort + "/faults", json);
    }

    void proxyFaults(String json) throws IOException, InterruptedException {
        mHttp.post("http://127.0.0.1:" + mProxyControlPort + "/faults", json);
    }

    void workerFaults(String json) throws IOException, InterruptedException {
        mHttp.post("http://127.0.0.1:" + mWorkerControlPort + "/faults", json);
    }

    void endpointFaults(String json) throws IOException, InterruptedException {
        mHttp.post("http://127.0.0.1:" + mEndpointControlPort + "/faults", json);
    }

    /** Returns all events of the workers, oldest first. */
    JsonNode workerEvents() throws IOException, InterruptedException {
        ArrayNode all = Http.JSON.createArrayNode();
        long from = 0;
        while (true) {
            JsonNode page =
                    mHttp.get("http://127.0.0.1:" + mWorkerControlPort + "/events?from=" + from);
            page.path("events").forEach(all::add);
            long next = page.path("next").asLong();
            if (next == from || page.path("events").isEmpty()) {
                return all;
            }
            from = next;
        }
    }

    JsonNode endpointEvents() throws IOException, InterruptedException {
        return mHttp.get("http://127.0.0.1:" + mEndpointControlPort + "/events");
    }

    void stop() throws InterruptedException {
        mProcesses.forEach(ChildProcess::kill);
        for (ChildProcess process : mProcesses) {
            process.awaitEnd(2_000);
        }
    }
}
