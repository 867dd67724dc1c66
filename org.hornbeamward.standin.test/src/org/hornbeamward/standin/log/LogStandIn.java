package org.hornbeamward.standin.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamward.standin.events.EventRecorder;
import org.hornbeamward.standin.events.FaultJson;
import org.hornbeamward.storage.log.LogClient;
import org.hornbeamward.storage.log.LogRead;
import org.hornbeamward.storage.log.LogRecord;
import org.hornbeamward.storage.log.ReadResponseCodec;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.http.HttpServer;

/**
 * In-memory log service with the HTTP interface of section 3.3 of the design. It also serves
 *
 * <ul>
 *   <li>{@code POST /faults} with the fields of {@link LogFaults}, {@code GET /faults};
 *   <li>{@code GET /events}, see {@link EventRecorder#handle}. Kinds: {@code append} (stream,
 *       offset, bytes, answer {@code sent} or {@code lost}), {@code faults}, {@code
 *       retention-passed} (stream, from, earliest); {@code read} and {@code refused-down} are only
 *       counted.
 * </ul>
 *
 * <p>When a response is lost, the connection stays open. A stream is created when it is first used.
 * Thread-safe.
 */
public final class LogStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern RECORDS_PATH =
            Pattern.compile("/streams/([A-Za-z0-9._-]+)/records");
    private static final int MAX_WAIT_MILLIS = 60_000;
    private static final HttpReply UNAVAILABLE_REPLY =
            HttpReply.problem(503, "{\"kind\":\"LogUnavailable\",\"message\":\"log is down\"}");

    private final EventRecorder mEvents = new EventRecorder();
    private final ScheduledThreadPoolExecutor mTimer = new ScheduledThreadPoolExecutor(1);
    private final HttpServer mServer;
    private final Map<String, StreamStore> mStreams = new HashMap<>();
    private LogFaults mFaults = LogFaults.NONE;
    private SplittableRandom mRandom = new SplittableRandom(LogFaults.NONE.seed());

    /**
     * Starts the service on the loopback address.
     *
     * @param port port to bind, 0 for any free one
     * @throws InterruptedException if interrupted while binding
     */
    public LogStandIn(int port) throws InterruptedException {
        mTimer.setRemoveOnCancelPolicy(true);
        mServer = new HttpServer("127.0.0.1", port, 1, LogClient.MAX_RECORD_BYTES, this::handle);
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
    public synchronized LogFaults faults() {
        return mFaults;
    }

    /**
     * Replaces the active faults.
     *
     * @param faults the new faults
     */
    public synchronized void setFaults(LogFaults faults) {
        mFaults = faults;
        mRandom = new SplittableRandom(faults.seed());
        mEvents.record("faults", Map.of("faults", faults));
        for (StreamStore stream : mStreams.values()) {
            stream.trim(faults.retainCount());
            if (faults.down()) {
                stream.takeAllWaiters()
                        .forEach(waiter -> waiter.reply().complete(UNAVAILABLE_REPLY));
            }
        }
    }

    /**
     * Returns the retained records of a stream.
     *
     * @param stream name of the stream
     * @return the records, oldest first
     */
    public synchronized List<LogRecord> records(String stream) {
        StreamStore store = getOrCreateStream(stream);
        return store.read(store.earliestOffset(), Long.MAX_VALUE).records();
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        Matcher recordsPath = RECORDS_PATH.matcher(call.path());
        if (recordsPath.matches()) {
            return handleStream(recordsPath.group(1), call);
        }
        return CompletableFuture.completedFuture(
                switch (call.method() + " " + call.path()) {
                    case "GET /events" -> mEvents.handle(call);
                    case "GET /faults" -> FaultJson.toReply(faults());
                    case "POST /faults" -> changeFaults(call);
                    default -> HttpReply.problem(404, "{\"kind\":\"NotFound\"}");
                });
    }

    private synchronized HttpReply changeFaults(HttpCall call) {
        return FaultJson.merge(mFaults, call.body(), LogFaults.class)
                .peek(this::setFaults)
                .fold(badRequest -> badRequest, FaultJson::toReply);
    }

    private synchronized CompletionStage<HttpReply> handleStream(String stream, HttpCall call) {
        if (mFaults.down()) {
            mEvents.count("refused-down");
            return CompletableFuture.completedFuture(UNAVAILABLE_REPLY);
        }
        return switch (call.method()) {
            case "POST" -> append(stream, call.body());
            case "GET" -> read(stream, call);
            default -> CompletableFuture.completedFuture(HttpReply.json(405, "{}"));
        };
    }

    private CompletionStage<HttpReply> append(String name, byte[] record) {
        StreamStore stream = getOrCreateStream(name);
        long offset = stream.append(record, mFaults.retainCount());
        boolean lost = drawResponseLoss();
        mEvents.record(
                "append",
                Map.of(
                        "stream",
                        name,
                        "offset",
                        offset,
                        "bytes",
                        record.length,
                        "answer",
                        lost ? "lost" : "sent"));
        for (ReadWaiter waiter : stream.takeReadyWaiters()) {
            waiter.reply().complete(readReply(waiter));
        }
        if (lost) {
            return new CompletableFuture<>();
        }
        return delayed(HttpReply.json(200, "{\"offset\":" + offset + "}"));
    }

    private boolean drawResponseLoss() {
        if (mFaults.loseNextAnswers() > 0) {
            mFaults = mFaults.withLoseNextAnswers(mFaults.loseNextAnswers() - 1);
            return true;
        }
        return mFaults.loseFraction() > 0 && mRandom.nextDouble() < mFaults.loseFraction();
    }

    private CompletionStage<HttpReply> read(String name, HttpCall call) {
        mEvents.count("read");
        long from;
        long waitMillis;
        long maxBytes;
        try {
            from = Long.parseLong(call.parameter("from").orElse("0"));
            waitMillis = Long.parseLong(call.parameter("waitMillis").orElse("0"));
            maxBytes = Long.parseLong(call.parameter("maxBytes").orElse("1048576"));
        } catch (NumberFormatException e) {
            return CompletableFuture.completedFuture(
                    FaultJson.badRequest("from, waitMillis and maxBytes must be numbers"));
        }
        ReadWaiter waiter = new ReadWaiter(name, from, maxBytes, new CompletableFuture<>());
        if (from < getOrCreateStream(name).endOffset() || waitMillis <= 0) {
            return delayed(readReply(waiter));
        }
        getOrCreateStream(name).addWaiter(waiter);
        mTimer.schedule(
                () -> expireWaiter(waiter),
                Math.min(waitMillis, MAX_WAIT_MILLIS),
                TimeUnit.MILLISECONDS);
        return waiter.reply().thenCompose(this::delayed);
    }

    private synchronized void expireWaiter(ReadWaiter waiter) {
        getOrCreateStream(waiter.stream()).removeWaiter(waiter);
        waiter.reply().complete(readReply(waiter));
    }

    private HttpReply readReply(ReadWaiter waiter) {
        StreamStore stream = getOrCreateStream(waiter.stream());
        long earliest = stream.earliestOffset();
        if (waiter.fromOffset() < earliest) {
            mEvents.record(
                    "retention-passed",
                    Map.of(
                            "stream",
                            waiter.stream(),
                            "from",
                            waiter.fromOffset(),
                            "earliest",
                            earliest));
            String body = JSON.createObjectNode().put("earliestOffset", earliest).toString();
            return HttpReply.json(410, body);
        }
        LogRead read = stream.read(waiter.fromOffset(), waiter.maxBytes());
        return new HttpReply(
                200, Map.of("Content-Type", "application/msgpack"), ReadResponseCodec.encode(read));
    }

    private CompletionStage<HttpReply> delayed(HttpReply reply) {
        long delayMillis = faults().delayMillis();
        if (delayMillis == 0) {
            return CompletableFuture.completedFuture(reply);
        }
        CompletableFuture<HttpReply> delayedReply = new CompletableFuture<>();
        mTimer.schedule(() -> delayedReply.complete(reply), delayMillis, TimeUnit.MILLISECONDS);
        return delayedReply;
    }

    private StreamStore getOrCreateStream(String name) {
        return mStreams.computeIfAbsent(name, unused -> new StreamStore());
    }

    /** Stops the service; its streams are lost. */
    @Override
    public void close() {
        mServer.close();
        mTimer.shutdownNow();
    }
}
