package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hornbeamward.pgm.entry.EntryMain;

/** Entry instance that runs as a child process. */
final class Entry {
    /** The same options as in tools/hornbeamward-entry. */
    private static final List<String> JAVA_OPTIONS =
            List.of(
                    "-Xms24m",
                    "-Xmx64m",
                    "-Xss512k",
                    "-XX:ReservedCodeCacheSize=32m",
                    "-XX:MaxDirectMemorySize=24m",
                    "-Dio.netty.allocator.type=unpooled");

    private final String mInstance;
    private final String mFailureDomain;
    private final ChildProcess mProcess;
    private final int mRequestPort;
    private final int mAdminPort;
    private final long mStartedNanos = System.nanoTime();

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
        settings.put("snapshotIntervalRecordCount", 50);
        Path file = folder.resolve(instance + ".json");
        Files.writeString(file, settings.toPrettyString());
        ChildProcess process =
                new ChildProcess(
                        folder,
                        instance,
                        JAVA_OPTIONS,
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

    long startedNanos() {
        return mStartedNanos;
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
