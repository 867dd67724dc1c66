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
import org.hornbeamward.route.claim.ClaimDesk;
import org.hornbeamward.route.claim.ClaimKey;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.route.retry.RetryPolicy;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpHandler;
import org.hornbeamward.transport.http.HttpReply;

/**
 * Routes callers' requests to endpoints. The path's first segment names the service; the whole path
 * is passed on unchanged. Safe for use by any thread.
 */
public final class Front implements HttpHandler, AutoCloseable {
    private static final long TICK_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Time for the refusal that states more than a plain timeout to come first. */
    private static final long GRACE_MILLIS = 50;

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final FrontConfig mConfig;
    private final SlotUse mUse;
    private final ClaimDesk mClaims;
    private final RequestListener mListener;
    private final MonotonicClock mClock = MonotonicClock.SYSTEM;
    private final EndpointClient mClient;
    private final Timer mTimer =
            new HashedWheelTimer(
                    new DefaultThreadFactory("front-timer", true),
                    TICK_MILLIS,
                    TimeUnit.MILLISECONDS);
    private final RandomGenerator mRandom = new Random();
    private final Map<String, ServiceLane> mLanes = new ConcurrentHashMap<>();
    private volatile RoutingView mView = RoutingView.NONE;
    private volatile boolean mClosed;

    /**
     * Creates a front without a view, which refuses every request.
     *
     * @param config its settings
     * @param use this member's slots
     * @param claims claims of non-idempotent requests
     * @param listener learns the outcomes
     */
    public Front(FrontConfig config, SlotUse use, ClaimDesk claims, RequestListener listener) {
        mConfig = config;
        mUse = use;
        mClaims = claims;
        mListener = listener;
        mClient = new EndpointClient(config.threadCount(), config.maxResponseBytes());
        scheduleTick();
    }

    /**
     * Publishes a new view. Called by the control duty, after it updated the slots in use.
     *
     * @param view the view
     */
    public void publish(RoutingView view) {
        mView = view;
        mLanes.values().forEach(ServiceLane::drain);
    }

    /**
     * Returns the view in force.
     *
     * @return the view published last
     */
    public RoutingView view() {
        return mView;
    }

    /**
     * Returns the requests that wait for a slot.
     *
     * @return their number in all services
     */
    public int queuedCount() {
        return mLanes.values().stream().mapToInt(ServiceLane::queuedCount).sum();
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        long startNanos = mClock.nowNanos();
        String serviceName = serviceOf(call.rawUri());
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
        String key = call.headers().get(HeaderRules.IDEMPOTENCY_KEY, "");
        if (!idempotent && key.isBlank()) {
            return refusal(BAD_REQUEST, "header Idempotency-Key is missing; add one");
        }
        ServiceLane lane = lane(serviceName);
        CompletionStage<RequestOutcome> outcome =
                idempotent
                        ? lane.submit(call, deadlineNanos, true)
                        : claim(call, key, lane, serviceName, deadlineNanos);
        return outcome.thenApply(
                ended -> {
                    mListener.completed(serviceName, ended, mClock.nowNanos() - startNanos);
                    return Refusals.reply(ended);
                });
    }

    private CompletionStage<RequestOutcome> claim(
            HttpCall call, String key, ServiceLane lane, String service, long deadlineNanos) {
        long digest = ClaimKey.digest(call.method(), call.rawUri(), call.body());
        CompletableFuture<RequestOutcome> outcome =
                mClaims.run(
                                ClaimKey.of(service, key),
                                digest,
                                deadlineNanos,
                                () -> lane.refusal(deadlineNanos),
                                () -> lane.submit(call, deadlineNanos, false))
                        .toCompletableFuture()
                        .copy();
        mTimer.newTimeout(
                unused ->
                        outcome.complete(
                                new RequestOutcome.Unknown(
                                        "a request with its Idempotency-Key is in progress")),
                deadlineNanos - mClock.nowNanos() + GRACE_MILLIS * NANOS_PER_MILLI,
                TimeUnit.NANOSECONDS);
        return outcome;
    }

    private ServiceLane lane(String service) {
        return mLanes.computeIfAbsent(
                service,
                name ->
                        new ServiceLane(
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

    private static String serviceOf(String rawUri) {
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
        String text = call.headers().get(HeaderRules.TIMEOUT);
        if (text == null) {
            return Either.right(service.timeoutMillis());
        }
        try {
            long millis = Long.parseLong(text.trim());
            if (millis > 0) {
                return Either.right(Math.min(millis, service.timeoutMillis()));
            }
        } catch (NumberFormatException e) {
            // Answered like a number that is not above 0.
        }
        return Either.left("header " + HeaderRules.TIMEOUT + " must be a number above 0");
    }

    private static CompletionStage<HttpReply> refusal(int status, String reason) {
        return CompletableFuture.completedFuture(Refusals.notRun(status, reason));
    }

    private void scheduleTick() {
        if (mClosed) {
            return;
        }
        mTimer.newTimeout(
                unused -> {
                    mClaims.expire();
                    mLanes.values().forEach(ServiceLane::drain);
                    scheduleTick();
                },
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Stops at once. */
    @Override
    public void close() {
        mClosed = true;
        mTimer.stop();
        mClient.close();
    }
}
