package org.hornbeamward.quickstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.jspecify.annotations.Nullable;

/** Sends requests at a fixed rate to the entry instances that a load balancer would select. */
final class Callers implements AutoCloseable {
    private static final long SEND_INTERVAL_MICROS = 10_000;
    private static final double NON_IDEMPOTENT_FRACTION = 0.2;
    private static final double REPEAT_FRACTION = 0.4;
    private static final long MAX_REPEAT_DELAY_MILLIS = 1_500;

    private final Http mHttp;
    private final List<String> mServices;
    private final Random mRandom;
    private final List<Entry> mTargets = new CopyOnWriteArrayList<>();
    private final ConcurrentLinkedQueue<Attempt> mAttempts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(1);
    private long mNextId;

    Callers(Http http, List<String> services, long seed) {
        mHttp = http;
        mServices = List.copyOf(services);
        mRandom = new Random(seed);
    }

    void start() {
        mTimer.scheduleAtFixedRate(this::sendNext, 0, SEND_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    void add(Entry entry) {
        mTargets.add(entry);
    }

    void remove(Entry entry) {
        mTargets.remove(entry);
    }

    private void sendNext() {
        if (mTargets.isEmpty()) {
            return;
        }
        String service = mServices.get(mRandom.nextInt(mServices.size()));
        boolean idempotent = mRandom.nextDouble() >= NON_IDEMPOTENT_FRACTION;
        String id = "r" + mNextId++;
        Entry entry = pickTarget(null);
        send(service, id, idempotent, entry);
        if (!idempotent && mRandom.nextDouble() < REPEAT_FRACTION) {
            Entry other = pickTarget(entry);
            mTimer.schedule(
                    () -> send(service, id, false, other),
                    mRandom.nextLong(MAX_REPEAT_DELAY_MILLIS),
                    TimeUnit.MILLISECONDS);
        }
    }

    private Entry pickTarget(@Nullable Entry excluded) {
        List<Entry> targets = new ArrayList<>(mTargets);
        if (targets.size() > 1) {
            targets.remove(excluded);
        }
        return targets.get(mRandom.nextInt(targets.size()));
    }

    private void send(String service, String id, boolean idempotent, Entry entry) {
        RequestBuilder request =
                new RequestBuilder(idempotent ? "GET" : "POST")
                        .setUrl(entry.requestUrl() + "/" + service + "/item/" + id)
                        .setHeader("X-Request-Timeout-Millis", "2000");
        if (!idempotent) {
            request.setHeader("Idempotency-Key", id).setBody("issue " + id);
        }
        long sentNanos = System.nanoTime();
        mInFlight.incrementAndGet();
        mHttp.send(request)
                .whenComplete(
                        (response, failure) -> {
                            mAttempts.add(newAttempt(id, entry, idempotent, sentNanos, response));
                            mInFlight.decrementAndGet();
                        });
    }

    private static Attempt newAttempt(
            String id,
            Entry entry,
            boolean idempotent,
            long sentNanos,
            @Nullable Response response) {
        String outcome = response == null ? null : response.getHeader("X-Hornbeamward-Outcome");
        return new Attempt(
                id,
                entry.instance(),
                idempotent,
                sentNanos,
                System.nanoTime(),
                response == null ? 0 : response.getStatusCode(),
                outcome == null ? "" : outcome,
                response == null ? "" : response.getResponseBody());
    }

    /** Stops sending and waits for outstanding responses. */
    void finish() throws InterruptedException {
        mTimer.shutdown();
        mTimer.awaitTermination(MAX_REPEAT_DELAY_MILLIS * 2, TimeUnit.MILLISECONDS);
        for (int wait = 0; wait < 200 && mInFlight.get() > 0; wait++) {
            Thread.sleep(50);
        }
    }

    List<Attempt> attempts() {
        return List.copyOf(mAttempts);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
