package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hornbeamward.pgm.entry.EntryMain;

/** One entry instance as a process. */
final class Entry {
    private final String mInstance;
    private final String mFailureDomain;
    private final ChildProcess mProcess;
    private final int mRequestPort;
    private final int mAdminPort;

    private Entry(
            String instance,
            String failureDomain,
            ChildProcess process,
            int requestPort,
            int adminPort) {
        mInstance = instance;
        mFailureDomain = failureDomain;
        mProcess = process;
        mRequestPort = requestPort;
        mAdminPort = adminPort;
    }

    static Entry start(
            Path folder, Platform platform, String instance, String failureDomain, String region)
            throws IOException {
        ObjectNode settings = Http.JSON.createObjectNode();
        settings.put("instance", instance);
        settings.put("failureDomain", failureDomain);
        settings.put("region", region);
        settings.put("requestAddress", "127.0.0.1:0");
        settings.put("adminAddress", "127.0.0.1:0");
        settings.put("peerAddress", "127.0.0.1:0");
        settings.put("logUrl", platform.logUrl());
        settings.put("listUrl", platform.listUrl());
        settings.put("shutdownWaitMillis", 1_000);
        Path file = folder.resolve(instance + ".json");
        Files.writeString(file, settings.toPrettyString());
        ChildProcess process =
                new ChildProcess(
                        folder,
                        instance,
                        "128m",
                        EntryMain.class.getName(),
                        List.of("--settings", file.toString()));
        List<String> lines = process.readUntil("listening");
        String[] words = lines.get(lines.size() - 1).split(" ");
        return new Entry(
                instance,
                failureDomain,
                process,
                Integer.parseInt(words[2]),
                Integer.parseInt(words[4]));
    }

    String instance() {
        return mInstance;
    }

    String failureDomain() {
        return mFailureDomain;
    }

    ChildProcess process() {
        return mProcess;
    }

    int requestPort() {
        return mRequestPort;
    }

    String requestUrl() {
        return "http://127.0.0.1:" + mRequestPort;
    }

    String adminUrl() {
        return "http://127.0.0.1:" + mAdminPort;
    }

    String adminAddress() {
        return "127.0.0.1:" + mAdminPort;
    }
}
