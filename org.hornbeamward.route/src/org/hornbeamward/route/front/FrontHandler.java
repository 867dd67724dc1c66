package org.hornbeamward.route.front;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timer;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.route.claim.AtMostOnceExecutor;
import org.hornbeamward.route.claim.ClaimKey;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.route.retry.RetryPolicy;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpHandler;
import org.hornbeamward.transport.http.HttpReply;

/**
 * HTTP handler that routes callers' requests to endpoints. The first path segment names the
 * service; the whole path is forwarded unchanged. Thread-safe.
 */
public final class FrontHandler implements HttpHandler, AutoCloseable {
    private static final long TICK_PERIOD_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Delay of the generic timeout reply, so that a more specific refusal takes precedence. */
    private static final long REFUSAL_GRACE_MILLIS = 50;

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final FrontConfig mConfig;
    private final SlotUse mUse;
    private final AtMostOnceExecutor mClaims;
    private final RequestListener mListener;
    private final MonotonicClock mClock = MonotonicClock.SYSTEM;
    private final EndpointClient mClient;
    private final Timer mTimer =
            new HashedWheelTimer(
                    new DefaultThreadFactory("front-timer", true),
                    TICK_PERIOD_MILLIS,
                    TimeUnit.MILLISECONDS);
    private final RandomGenerator mRandom = new Random();
    private final Map<String, ServiceRequestQueue> mServiceQueues = new ConcurrentHashMap<>();
    private volatile RoutingView mView = RoutingView.NONE;
    private volatile boolean mClosed;

    /**
     * Creates a handler without a routing view, which refuses every request.
     *
     * @param config settings of the front
     * @param use counts of this member's slots
     * @param claims runs non-idempotent requests at most once
     * @param listener is notified of the outcomes
     */
    public FrontHandler(
            FrontConfig config, SlotUse use, AtMostOnceExecutor claims, RequestListener listener) {
        mConfig = config;
        mUse = use;
        mClaims = claims;
        mListener = listener;
        mClient = new EndpointClient(config.threadCount(), config.maxResponseBytes());
        scheduleTick();
    }

    /**
     * Replaces the routing view. Called by the control duty after it has updated the slots in use.
     *
     * @param view the new view
     */
    public void publish(RoutingView view) {
        mView = view;
        mServiceQueues.values().forEach(ServiceRequestQueue::drain);
    }

    /**
     * Returns the current routing view.
     *
     * @return the view published last
     */
    public RoutingView view() {
        return mView;
    }

    /**
     * Returns the number of requests that wait for a slot.
     *
     * @return total over all services
     */
    public int queuedCount() {
        return mServiceQueues.values().stream().mapToInt(ServiceRequestQueue::queuedCount).sum();
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        long startNanos = mClock.nowNanos();
        String serviceName = serviceNameOf(call.rawUri());
        RoutingView.Service service = mView.services().get(serviceName);
        if (service == null) {
            return mView == RoutingView.NONE
                    ? refusal(503, "this instance has not read the log yet")
                    : refusal(NOT_FOUND, "there is no service of that name");
        }
        Either<String, Long> timeout = timeoutMillis(call, service);
        if (timeout.isLeft()) {
            return refusal(BAD_REQUEST, timeout.getLeft());
        }
        long deadlineNanos = startNanos + timeout.get() * NANOS_PER_MILLI;
        boolean idempotent = service.idempotentMethods().contains(call.method());
        String key = call.headers().get(HeaderFilter.IDEMPOTENCY_KEY, "");
        if (!idempotent && key.isBlank()) {
            return refusal(BAD_REQUEST, "header Idempotency-Key is missing; add one");
        }
        ServiceRequestQueue queue = queueFor(serviceName);
        CompletionStage<RequestOutcome> outcome =
                idempotent
                        ? queue.submit(call, deadlineNanos, true)
                        : claim(call, key, queue, serviceName, deadlineNanos);
        return outcome.thenApply(
                result -> {
                    mListener.completed(serviceName, result, mClock.nowNanos() - startNanos);
                    return OutcomeReplies.reply(result);
                });
    }

    private CompletionStage<RequestOutcome> claim(
            HttpCall call,
            String key,
            ServiceRequestQueue queue,
            String service,
            long deadlineNanos) {
        long digest = ClaimKey.digest(call.method(), call.rawUri(), call.body());
        CompletableFuture<RequestOutcome> outcome =
                mClaims.run(
                                ClaimKey.of(service, key),
                                digest,
                                deadlineNanos,
                                () -> queue.refusal(deadlineNanos),
                                () -> queue.submit(call, deadlineNanos, false))
                        .toCompletableFuture()
                        .copy();
        mTimer.newTimeout(
                unused ->
                        outcome.complete(
                                new RequestOutcome.Unknown(
                                        "a request with its Idempotency-Key is in progress")),
                deadlineNanos - mClock.nowNanos() + REFUSAL_GRACE_MILLIS * NANOS_PER_MILLI,
                TimeUnit.NANOSECONDS);
        return outcome;
    }

    private ServiceRequestQueue queueFor(String service) {
        return mServiceQueues.computeIfAbsent(
                service,
                name ->
                        new ServiceRequestQueue(
                                name,
                                mConfig,
                                RetryPolicy.DEFAULT,
                                mUse,
                                mClient,
                                mTimer,
                                mClock,
                                mRandom,
                                () -> mView));
    }

    private static String serviceNameOf(String rawUri) {
        if (!rawUri.startsWith("/")) {
            return "";
        }
        int end = 1;
        while (end < rawUri.length() && "/?".indexOf(rawUri.charAt(end)) < 0) {
            end++;
        }
        return rawUri.substring(1, end);
    }

    private static Either<String, Long> timeoutMillis(HttpCall call, RoutingView.Service service) {
        String text = call.headers().get(HeaderFilter.TIMEOUT);
        if (text == null) {
            return Either.right(service.timeoutMillis());
        }
        try {
            long millis = Long.parseLong(text.trim());
            if (millis > 0) {
                return Either.right(Math.min(millis, service.timeoutMillis()));
            }
        } catch (NumberFormatException e) {
            // Rejected below, like a number that is not positive.
        }
        return Either.left("header " + HeaderFilter.TIMEOUT + " must be a number above 0");
    }

    private static CompletionStage<HttpReply> refusal(int status, String reason) {
        return CompletableFuture.completedFuture(OutcomeReplies.notRun(status, reason));
    }

    private void scheduleTick() {
        if (mClosed) {
            return;
        }
        mTimer.newTimeout(
                unused -> {
                    mClaims.expire();
                    mServiceQueues.values().forEach(ServiceRequestQueue::drain);
                    scheduleTick();
                },
                TICK_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Stops immediately, without waiting for requests in flight. */
    @Override
    public void close() {
        mClosed = true;
        mTimer.stop();
        mClient.close();
    }
}
