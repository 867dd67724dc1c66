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
 * An endpoint that runs every request it gets, also repeated ones, and records each. A request
 * above the slot limit is refused with 503 and recorded.
 */
public final class StandinEndpoint implements AutoCloseable {
    /** Requests that an endpoint takes at once. */
    public static final int SLOT_COUNT = 8;

    /** Connections that an endpoint takes. */
    public static final int CONNECTION_COUNT = 64;

    private static final int MAX_EVENTS = 500_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final long PAUSE_POLL_MILLIS = 5;
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
     * Starts listening on loopback.
     *
     * @param name shown in answers
     * @param port port to bind, 0 for any free one
     * @param medianMillis median of the log-normal service time
     * @param seed seed of service times and faults
     * @param scheduler ends the requests; not closed with this endpoint
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
     * Returns the name.
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
     * Sets the faults of requests received from now on; a pause ends for all.
     *
     * @param faults the faults
     */
    public void setFaults(EndpointFaults faults) {
        mFaults = faults;
    }

    /**
     * Returns the requests whose work has ended.
     *
     * @return the events in the order of their end
     */
    public synchronized List<EndpointEvent> events() {
        return List.copyOf(mEvents);
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        CompletableFuture<HttpReply> answer = new CompletableFuture<>();
        Work work;
        double serviceMillis;
        synchronized (this) {
            EndpointFaults faults = mFaults;
            boolean refused = mRunningCount >= SLOT_COUNT;
            serviceMillis =
                    mMedianMillis * Math.exp(SERVICE_TIME_SIGMA * mRandom.nextGaussian())
                            + faults.slowMillis();
            String outcome = refused ? "refused" : drawOutcome(faults);
            work =
                    new Work(
                            ++mLastId,
                            call,
                            System.nanoTime(),
                            mRunningCount + 1,
                            mServer.connectionCount(),
                            outcome,
                            faults.lateMillis(),
                            answer);
            if (refused) {
                record(work);
                answer.complete(reply(503, work));
                return answer;
            }
            mRunningCount++;
        }
        schedule(() -> end(work), serviceMillis);
        return answer;
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

    private void end(Work work) {
        if (mFaults.paused()) {
            schedule(() -> end(work), PAUSE_POLL_MILLIS);
            return;
        }
        if (work.outcome().equals("late") && !work.waited()) {
            Work waited = work.afterWait();
            schedule(() -> end(waited), work.lateMillis());
            return;
        }
        synchronized (this) {
            mRunningCount--;
            record(work);
        }
        switch (work.outcome()) {
            case "failed" -> work.answer().complete(reply(500, work));
            case "closed" -> work.answer().complete(HttpReply.closeConnection());
            default -> work.answer().complete(reply(200, work));
        }
    }

    private synchronized void record(Work work) {
        if (mEvents.size() >= MAX_EVENTS) {
            mEvents.removeFirst();
        }
        mEvents.addLast(
                new EndpointEvent(
                        work.id(),
                        work.call().headers().get("Idempotency-Key", ""),
                        work.call().method(),
                        work.call().rawUri(),
                        work.startNanos(),
                        System.nanoTime(),
                        work.concurrentCount(),
                        work.connectionCount(),
                        work.outcome()));
    }

    private HttpReply reply(int status, Work work) {
        return HttpReply.json(
                status,
                mMapper.createObjectNode()
                        .put("endpoint", mName)
                        .put("id", work.id())
                        .put("outcome", work.outcome())
                        .put("path", work.call().rawUri())
                        .put("body", new String(work.call().body(), StandardCharsets.UTF_8))
                        .toString());
    }

    private void schedule(Runnable task, double millis) {
        mScheduler.schedule(task, (long) (millis * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        mServer.close();
    }

    private record Work(
            long id,
            HttpCall call,
            long startNanos,
            int concurrentCount,
            int connectionCount,
            String outcome,
            long lateMillis,
            CompletableFuture<HttpReply> answer,
            boolean waited) {
        Work(
                long id,
                HttpCall call,
                long startNanos,
                int concurrentCount,
                int connectionCount,
                String outcome,
                long lateMillis,
                CompletableFuture<HttpReply> answer) {
            this(
                    id,
                    call,
                    startNanos,
                    concurrentCount,
                    connectionCount,
                    outcome,
                    lateMillis,
                    answer,
                    false);
        }

        Work afterWait() {
            return new Work(
                    id,
                    call,
                    startNanos,
                    concurrentCount,
                    connectionCount,
                    outcome,
                    lateMillis,
                    answer,
                    true);
        }
    }
}
