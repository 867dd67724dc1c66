package org.hornbeamward.standin.list;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.standin.events.EventRecorder;
import org.hornbeamward.standin.events.FaultJson;
import org.hornbeamward.storage.list.InstanceEntry;
import org.hornbeamward.storage.list.InstanceList;
import org.hornbeamward.storage.list.InstanceListCodec;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.http.HttpServer;

/**
 * Stand-in for the platform's instance list. It serves
 *
 * <ul>
 *   <li>{@code GET /instances} in the format of {@link InstanceListCodec}, with an entity tag and
 *       status 304 for an unchanged list;
 *   <li>{@code POST /instances} with {@code {"instances":[...]}} publishes a list with the next
 *       version and responds with {@code {"version":N}};
 *   <li>{@code POST /faults} with the fields of {@link ListFaults}, {@code GET /faults};
 *   <li>{@code GET /events}, see {@link EventRecorder#handle}. Kinds: {@code content} (version,
 *       instances), {@code faults}, {@code serving} (what, version; recorded when it changes);
 *       {@code served} and {@code refused-down} are only counted.
 * </ul>
 *
 * <p>The list is empty with version 0 until one is published. Thread-safe.
 */
public final class ListStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int MAX_HISTORY_COUNT = 1_000;

    private record PublishedList(InstanceList list, long publishedNanos) {}

    private final EventRecorder mEvents = new EventRecorder();
    private final HttpServer mServer;
    private final List<PublishedList> mHistory = new ArrayList<>();
    private ListFaults mFaults = ListFaults.NONE;
    private SplittableRandom mRandom = new SplittableRandom(ListFaults.NONE.seed());
    private String mLastServed = "";

    /**
     * Starts the service on the loopback address.
     *
     * @param port port to bind, 0 for any free one
     * @throws InterruptedException if interrupted while binding
     */
    public ListStandIn(int port) throws InterruptedException {
        mHistory.add(new PublishedList(new InstanceList(0, List.of()), System.nanoTime()));
        mServer = new HttpServer("127.0.0.1", port, 1, MAX_BODY_BYTES, this::handle);
    }

    /**
     * Returns the bound port.
     *
     * @return the port number
     */
    public int port() {
        return mServer.port();
    }

    /**
     * Returns the recorder of the events of this stand-in.
     *
     * @return the recorder, which further events are added to
     */
    public EventRecorder events() {
        return mEvents;
    }

    /**
     * Returns the active faults.
     *
     * @return the faults
     */
    public synchronized ListFaults faults() {
        return mFaults;
    }

    /**
     * Replaces the active faults.
     *
     * @param faults the new faults
     */
    public synchronized void setFaults(ListFaults faults) {
        mFaults = faults;
        mRandom = new SplittableRandom(faults.seed());
        mEvents.record("faults", Map.of("faults", faults));
    }

    /**
     * Publishes a list.
     *
     * @param entries the instances
     * @return version of the list, one above the previous version
     */
    public synchronized long setInstances(List<InstanceEntry> entries) {
        long version = newestList().list().version() + 1;
        mHistory.add(new PublishedList(new InstanceList(version, entries), System.nanoTime()));
        if (mHistory.size() > MAX_HISTORY_COUNT) {
            mHistory.remove(0);
        }
        mEvents.record("content", Map.of("version", version, "instances", entries.size()));
        return version;
    }

    private PublishedList newestList() {
        return mHistory.get(mHistory.size() - 1);
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        return CompletableFuture.completedFuture(
                switch (call.method() + " " + call.path()) {
                    case "GET /instances" -> serve(call);
                    case "POST /instances" -> changeInstances(call);
                    case "GET /events" -> mEvents.handle(call);
                    case "GET /faults" -> FaultJson.toReply(faults());
                    case "POST /faults" -> changeFaults(call);
                    default -> HttpReply.problem(404, "{\"kind\":\"NotFound\"}");
                });
    }

    private synchronized HttpReply changeFaults(HttpCall call) {
        return FaultJson.merge(mFaults, call.body(), ListFaults.class)
                .peek(this::setFaults)
                .fold(badRequest -> badRequest, FaultJson::toReply);
    }

    private synchronized HttpReply changeInstances(HttpCall call) {
        return withVersion(call.body())
                .mapLeft(FaultJson::badRequest)
                .flatMap(
                        json ->
                                InstanceListCodec.decode(json)
                                        .mapLeft(error -> FaultJson.badRequest(error.message())))
                .map(list -> versionReply(setInstances(list.entries())))
                .fold(badRequest -> badRequest, reply -> reply);
    }

    /** Adds a version, which the codec requires; the stand-in assigns the actual one itself. */
    private static Either<String, byte[]> withVersion(byte[] body) {
        try {
            if (JSON.readTree(body) instanceof ObjectNode document) {
                return Either.right(JSON.writeValueAsBytes(document.put("version", 0)));
            }
        } catch (IOException e) {
            return Either.left("expected JSON");
        }
        return Either.left("expected a JSON object with 'instances'");
    }

    private static HttpReply versionReply(long version) {
        return HttpReply.json(200, "{\"version\":" + version + "}");
    }

    private synchronized HttpReply serve(HttpCall call) {
        ListFaults faults = drawFaults();
        if (faults.down()) {
            mEvents.count("refused-down");
            recordServing("down", 0);
            return HttpReply.problem(503, "{\"kind\":\"ListUnavailable\"}");
        }
        mEvents.count("served");
        InstanceList list = selectList(faults);
        recordServing(describe(faults), list.version());
        if (faults.empty()) {
            list = new InstanceList(newestList().list().version(), List.of());
        }
        byte[] body = InstanceListCodec.encode(list);
        if (faults.malformed()) {
            body = Arrays.copyOf(body, body.length / 2);
        }
        String entityTag = "\"" + list.version() + "-" + Arrays.hashCode(body) + "\"";
        if (entityTag.equals(call.headers().get("If-None-Match"))) {
            return new HttpReply(304, Map.of("ETag", entityTag), new byte[0]);
        }
        Map<String, String> headers = Map.of("Content-Type", "application/json", "ETag", entityTag);
        return new HttpReply(200, headers, body);
    }

    private ListFaults drawFaults() {
        if (mFaults.faultyFraction() == 0 || mRandom.nextDouble() >= mFaults.faultyFraction()) {
            return mFaults;
        }
        return switch (mRandom.nextInt(3)) {
            case 0 -> mFaults.withDown(true);
            case 1 -> mFaults.withVersionsBack(mFaults.versionsBack() + 1);
            default -> mFaults.withEmpty(true);
        };
    }

    private InstanceList selectList(ListFaults faults) {
        long maxPublishedNanos =
                System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(faults.lagMillis());
        int index = mHistory.size() - 1;
        while (index > 0 && mHistory.get(index).publishedNanos() - maxPublishedNanos > 0) {
            index--;
        }
        return mHistory.get(Math.max(0, index - faults.versionsBack())).list();
    }

    private static String describe(ListFaults faults) {
        if (faults.empty()) {
            return "empty";
        }
        if (faults.malformed()) {
            return "malformed";
        }
        return faults.versionsBack() > 0 ? "older" : "list";
    }

    private void recordServing(String what, long version) {
        String serving = what + " " + version;
        if (!serving.equals(mLastServed)) {
            mLastServed = serving;
            mEvents.record("serving", Map.of("what", what, "version", version));
        }
    }

    /** Stops the service. */
    @Override
    public void close() {
        mServer.close();
    }
}
