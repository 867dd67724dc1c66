package org.hornbeamward.standin.endpoint;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.http.HttpServer;

/**
 * Endpoint that runs every request it receives, including repeated ones, and records each. A
 * request beyond the slot limit is refused with status 503 and recorded.
 */
public final class StandinEndpoint implements AutoCloseable {
    /** Maximum number of requests that an endpoint runs concurrently. */
    public static final int SLOT_COUNT = 8;

    /** Maximum number of open connections to an endpoint. */
    public static final int CONNECTION_COUNT = 64;

    private static final int MAX_EVENT_COUNT = 500_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long PAUSE_POLL_INTERVAL_MILLIS = 5;
    private static final double SERVICE_TIME_SIGMA = 0.5;
    private static final double NANOS_PER_MILLI = 1e6;

    private final String mName;
    private final double mMedianMillis;
    private final ScheduledExecutorService mScheduler;
    private final Random mRandom;
    private final Deque<EndpointEvent> mEvents = new ArrayDeque<>();
    private final ObjectMapper mMapper = new ObjectMapper();
    private final HttpServer mServer;
    private volatile EndpointFaults mFaults = EndpointFaults.NONE;
    private int mRunningCount;
    private long mLastId;

    /**
     * Starts listening on the loopback address.
     *
     * @param name name of the endpoint, contained in responses
     * @param port port to bind, 0 for any free one
     * @param medianMillis median of the log-normal service time
     * @param seed seed of service times and faults
     * @param scheduler completes the requests; not shut down with this endpoint
     * @throws InterruptedException if interrupted while binding
     */
    public StandinEndpoint(
            String name,
            int port,
            double medianMillis,
            long seed,
            ScheduledExecutorService scheduler)
            throws InterruptedException {
        mName = name;
        mMedianMillis = medianMillis;
        mScheduler = scheduler;
        mRandom = new Random(seed ^ name.hashCode());
        mServer =
                new HttpServer(
                        "127.0.0.1", port, 1, MAX_BODY_BYTES, CONNECTION_COUNT, this::handle);
    }

    /**
     * Returns the name that responses contain.
     *
     * @return the name
     */
    public String name() {
        return mName;
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
     * Sets the faults of requests received from now on. A pause starts and ends for all requests.
     *
     * @param faults the faults
     */
    public void setFaults(EndpointFaults faults) {
        mFaults = faults;
    }

    /**
     * Returns the requests whose processing has ended.
     *
     * @return the events in the order in which processing ended
     */
    public synchronized List<EndpointEvent> events() {
        return List.copyOf(mEvents);
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        CompletableFuture<HttpReply> response = new CompletableFuture<>();
        ReceivedRequest request;
        double serviceMillis;
        synchronized (this) {
            EndpointFaults faults = mFaults;
            boolean refused = mRunningCount >= SLOT_COUNT;
            serviceMillis =
                    mMedianMillis * Math.exp(SERVICE_TIME_SIGMA * mRandom.nextGaussian())
                            + faults.slowMillis();
            String outcome = refused ? "refused" : drawOutcome(faults);
            request =
                    new ReceivedRequest(
                            ++mLastId,
                            call,
                            System.nanoTime(),
                            mRunningCount + 1,
                            mServer.connectionCount(),
                            outcome,
                            faults.lateMillis(),
                            response);
            if (refused) {
                record(request);
                response.complete(reply(503, request));
                return response;
            }
            mRunningCount++;
        }
        schedule(() -> finish(request), serviceMillis);
        return response;
    }

    private String drawOutcome(EndpointFaults faults) {
        double draw = mRandom.nextDouble();
        if (draw < faults.failFraction()) {
            return "failed";
        }
        if (draw < faults.failFraction() + faults.closeFraction()) {
            return "closed";
        }
        return draw < faults.failFraction() + faults.closeFraction() + faults.lateFraction()
                ? "late"
                : "ran";
    }

    private void finish(ReceivedRequest request) {
        if (mFaults.paused()) {
            schedule(() -> finish(request), PAUSE_POLL_INTERVAL_MILLIS);
            return;
        }
        if (request.outcome().equals("late") && !request.delayed()) {
            ReceivedRequest delayed = request.asDelayed();
            schedule(() -> finish(delayed), request.lateMillis());
            return;
        }
        synchronized (this) {
            mRunningCount--;
            record(request);
        }
        switch (request.outcome()) {
            case "failed" -> request.response().complete(reply(500, request));
            case "closed" -> request.response().complete(HttpReply.closeConnection());
            default -> request.response().complete(reply(200, request));
        }
    }

    private synchronized void record(ReceivedRequest request) {
        if (mEvents.size() >= MAX_EVENT_COUNT) {
            mEvents.removeFirst();
        }
        mEvents.addLast(
                new EndpointEvent(
                        request.id(),
                        request.call().headers().get("Idempotency-Key", ""),
                        request.call().method(),
                        request.call().rawUri(),
                        request.startNanos(),
                        System.nanoTime(),
                        request.concurrentCount(),
                        request.connectionCount(),
                        request.outcome()));
    }

    private HttpReply reply(int status, ReceivedRequest request) {
        return HttpReply.json(
                status,
                mMapper.createObjectNode()
                        .put("endpoint", mName)
                        .put("id", request.id())
                        .put("outcome", request.outcome())
                        .put("path", request.call().rawUri())
                        .put("body", new String(request.call().body(), StandardCharsets.UTF_8))
                        .toString());
    }

    private void schedule(Runnable task, double millis) {
        mScheduler.schedule(task, (long) (millis * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        mServer.close();
    }

    private record ReceivedRequest(
            long id,
            HttpCall call,
            long startNanos,
            int concurrentCount,
            int connectionCount,
            String outcome,
            long lateMillis,
            CompletableFuture<HttpReply> response,
            boolean delayed) {
        ReceivedRequest(
                long id,
                HttpCall call,
                long startNanos,
                int concurrentCount,
                int connectionCount,
                String outcome,
                long lateMillis,
                CompletableFuture<HttpReply> response) {
            this(
                    id,
                    call,
                    startNanos,
                    concurrentCount,
                    connectionCount,
                    outcome,
                    lateMillis,
                    response,
                    false);
        }

        ReceivedRequest asDelayed() {
            return new ReceivedRequest(
                    id,
                    call,
                    startNanos,
                    concurrentCount,
                    connectionCount,
                    outcome,
                    lateMillis,
                    response,
                    true);
        }
    }
}
