package org.hornbeamward.route.front;

import io.netty.util.Timer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.route.retry.AdmissionControl;
import org.hornbeamward.route.retry.EndpointChooser;
import org.hornbeamward.route.retry.EndpointHealth;
import org.hornbeamward.route.retry.RetryBudget;
import org.hornbeamward.route.retry.RetryPolicy;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.jspecify.annotations.Nullable;

/**
 * Handles the requests of one service: queues them in a bounded queue, acquires slots, sends
 * attempts and retries. Thread-safe.
 */
public final class ServiceRequestQueue {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final String mName;
    private final FrontConfig mConfig;
    private final SlotUse mUse;
    private final AttemptSender mSender;
    private final Timer mTimer;
    private final MonotonicClock mClock;
    private final Supplier<RoutingView> mView;
    private final AdmissionControl mAdmission;
    private final RetryPolicy mPolicy;
    private final RandomGenerator mRandom;
    private final EndpointHealth mHealth;
    private final RetryBudget mBudget;
    private final Deque<Exchange> mQueue = new ArrayDeque<>();
    private RoutingView.@Nullable Service mUsableService;
    private List<EndpointId> mUsableEndpoints = List.of();

    /**
     * Starts with an empty queue.
     *
     * @param name name of the service
     * @param config settings of the front
     * @param policy parameters for retries and load shedding
     * @param use counts of this member's slots
     * @param sender sends attempts
     * @param timer runs the tasks that enforce deadlines
     * @param clock monotonic clock for the deadlines
     * @param random random number generator for endpoint choices, used only under this object's
     *     lock
     * @param view returns the current routing view
     */
    public ServiceRequestQueue(
            String name,
            FrontConfig config,
            RetryPolicy policy,
            SlotUse use,
            AttemptSender sender,
            Timer timer,
            MonotonicClock clock,
            RandomGenerator random,
            Supplier<RoutingView> view) {
        mName = name;
        mConfig = config;
        mUse = use;
        mSender = sender;
        mTimer = timer;
        mClock = clock;
        mView = view;
        mPolicy = policy;
        mRandom = random;
        mAdmission = new AdmissionControl(config.maxQueueCount(), policy.shedding());
        mHealth = new EndpointHealth(policy.ejectAfterCount());
        mBudget = new RetryBudget(policy.retryRatio(), policy.retryBurstCount());
    }

    /**
     * Returns the number of requests that wait for a slot.
     *
     * @return length of the queue
     */
    public synchronized int queuedCount() {
        return mQueue.size();
    }

    /**
     * Tells whether a request would be refused now.
     *
     * @param deadlineNanos deadline of the request
     * @return the reason, or null if the request would be sent or queued
     */
    public synchronized @Nullable String refusal(long deadlineNanos) {
        RoutingView view = mView.get();
        RoutingView.Service service = view.services().get(mName);
        if (!view.active() || service == null) {
            return "this instance may not use slots now; repeat through another";
        }
        long remainingNanos = deadlineNanos - mClock.nowNanos();
        if (remainingNanos <= 0) {
            return "the deadline has passed";
        }
        if (mQueue.isEmpty() && chooseEndpoint(service, null).isPresent()) {
            return null;
        }
        int slotCount =
                service.usableEndpoints().stream()
                        .mapToInt(RoutingView.Endpoint::heldSlotCount)
                        .sum();
        return mAdmission.admits(mQueue.size(), slotCount, remainingNanos)
                ? null
                : "all slots are busy for longer than its deadline allows";
    }

    /**
     * Sends or queues a request.
     *
     * @param call request as received from the caller
     * @param deadlineNanos deadline of the request
     * @param idempotent whether the request may be repeated after a byte was sent
     * @return the outcome, completed at the deadline at the latest
     */
    public CompletionStage<RequestOutcome> submit(
            HttpCall call, long deadlineNanos, boolean idempotent) {
        Exchange exchange = new Exchange(call, deadlineNanos, idempotent);
        synchronized (this) {
            String refusal = refusal(deadlineNanos);
            if (refusal != null) {
                exchange.refuse(refusal);
                return exchange.mOutcome;
            }
            if (idempotent) {
                mBudget.onRequest();
            }
            exchange.mDeadlineTimer =
                    mTimer.newTimeout(
                            unused -> onDeadline(exchange),
                            deadlineNanos - mClock.nowNanos(),
                            TimeUnit.NANOSECONDS);
            if (!mQueue.isEmpty() || !tryDispatch(exchange)) {
                mQueue.addLast(exchange);
            }
        }
        return exchange.mOutcome;
    }

    /** Sends queued requests while there are free slots. */
    public synchronized void drain() {
        while (!mQueue.isEmpty()) {
            Exchange exchange = mQueue.removeFirst();
            if (exchange.isDone()) {
                continue;
            }
            if (!mAdmission.isWorthSending(exchange.mDeadlineNanos - mClock.nowNanos())) {
                // An earlier attempt may still get a response; otherwise the deadline timer ends
                // the
                // request.
                if (exchange.mRunningAttemptCount == 0) {
                    exchange.refuse("no slot was free early enough before its deadline");
                }
            } else if (!tryDispatch(exchange)) {
                mQueue.addFirst(exchange);
                return;
            }
        }
    }

    private synchronized void onDeadline(Exchange exchange) {
        mQueue.remove(exchange);
        if (!exchange.isDone()) {
            exchange.refuse(
                    exchange.mSentAttemptCount == 0
                            ? "no slot was free before its deadline"
                            : "no answer came before its deadline");
        }
    }

    /** Starts an attempt. Returns false if no slot is free or this member may not use slots. */
    private boolean tryDispatch(Exchange exchange) {
        RoutingView view = mView.get();
        RoutingView.Service service = view.services().get(mName);
        if (!view.active() || service == null) {
            return false;
        }
        Optional<EndpointId> chosen = chooseEndpoint(service, exchange);
        while (chosen.isPresent() && !mUse.tryAcquire(chosen.get())) {
            chosen = chooseEndpoint(service, exchange);
        }
        RoutingView.Endpoint endpoint = chosen.map(service.endpoints()::get).orElse(null);
        if (endpoint == null) {
            return false;
        }
        long nowNanos = mClock.nowNanos();
        long remainingMillis = (exchange.mDeadlineNanos - nowNanos) / NANOS_PER_MILLI;
        if (remainingMillis < 1) {
            mUse.release(endpoint.id());
            exchange.refuse("the deadline has passed");
            return true;
        }
        startAttempt(exchange, service, endpoint, nowNanos, remainingMillis);
        return true;
    }

    private void startAttempt(
            Exchange exchange,
            RoutingView.Service service,
            RoutingView.Endpoint endpoint,
            long startNanos,
            long remainingMillis) {
        Attempt attempt = new Attempt(exchange, service, endpoint.id(), startNanos);
        mHealth.onSent(endpoint.id(), startNanos);
        exchange.mTriedEndpoints.add(endpoint.id());
        exchange.mRunningAttemptCount++;
        exchange.mSentAttemptCount++;
        if (mPolicy.attemptTimeouts()
                && exchange.mIdempotent
                && service.attemptTimeoutMillis() < remainingMillis) {
            mTimer.newTimeout(
                    unused -> onAttemptTimeout(attempt),
                    service.attemptTimeoutMillis(),
                    TimeUnit.MILLISECONDS);
        }
        mSender.send(endpoint.address(), exchange.mCall, remainingMillis, service.timeoutMillis())
                .thenAccept(result -> onAttemptEnded(attempt, result));
    }

    private synchronized void onAttemptTimeout(Attempt attempt) {
        Exchange exchange = attempt.mExchange;
        if (attempt.mEnded || exchange.isDone()) {
            return;
        }
        attempt.mTimedOut = true;
        recordFailure(attempt);
        if (isRetryAllowed(exchange) && mBudget.tryRetry()) {
            retry(exchange);
        }
    }

    private synchronized void onAttemptEnded(Attempt attempt, SendResult result) {
        attempt.mEnded = true;
        Exchange exchange = attempt.mExchange;
        exchange.mRunningAttemptCount--;
        long nowNanos = mClock.nowNanos();
        switch (result) {
            case SendResult.Answered answered -> {
                mUse.release(attempt.mEndpoint);
                mAdmission.recordServiceTime(nowNanos - attempt.mStartNanos);
                onAnswered(attempt, answered.reply());
            }
            case SendResult.NotSent notSent -> {
                mUse.release(attempt.mEndpoint);
                exchange.mSentAttemptCount--;
                recordFailure(attempt);
                if (!exchange.isDone()) {
                    retryOrComplete(exchange, isRetryAllowed(exchange), notSent.reason());
                }
            }
            case SendResult.Broken broken -> {
                releaseAfterProcessing(attempt, broken, nowNanos);
                recordFailure(attempt);
                if (!exchange.isDone()) {
                    retryOrComplete(exchange, tryTakeRetry(exchange), broken.reason());
                }
            }
        }
        drain();
    }

    private void onAnswered(Attempt attempt, HttpReply reply) {
        Exchange exchange = attempt.mExchange;
        if (reply.status() < MIN_SERVER_ERROR_STATUS) {
            if (!attempt.mTimedOut) {
                mHealth.onSuccess(attempt.mEndpoint);
            }
            // After the deadline the exchange is already complete, and the response is discarded.
            exchange.complete(new RequestOutcome.Answered(reply));
            return;
        }
        recordFailure(attempt);
        if (!exchange.isDone()) {
            exchange.mServerError = reply;
            retryOrComplete(exchange, tryTakeRetry(exchange), "the endpoint failed");
        }
    }

    /**
     * Releases the slot of a broken attempt. Unless the endpoint had started to respond, it may
     * still be processing the request, so the slot stays in use until the longest processing time
     * is over.
     */
    private void releaseAfterProcessing(Attempt attempt, SendResult.Broken broken, long nowNanos) {
        long endNanos = attempt.mStartNanos + attempt.mService.timeoutMillis() * NANOS_PER_MILLI;
        if (broken.processingEnded() || endNanos - nowNanos <= 0) {
            mUse.release(attempt.mEndpoint);
            return;
        }
        mTimer.newTimeout(
                unused -> {
                    mUse.release(attempt.mEndpoint);
                    drain();
                },
                endNanos - nowNanos,
                TimeUnit.NANOSECONDS);
    }

    private void recordFailure(Attempt attempt) {
        int usableCount = attempt.mService.usableEndpoints().size();
        mHealth.onFailure(attempt.mEndpoint, usableCount, mClock.nowNanos());
    }

    private boolean isRetryAllowed(Exchange exchange) {
        return exchange.mRetryCount < mConfig.maxRetryCount()
                && mAdmission.isWorthSending(exchange.mDeadlineNanos - mClock.nowNanos());
    }

    /** Takes a retry from the budget if the request may be retried after a byte was sent. */
    private boolean tryTakeRetry(Exchange exchange) {
        return exchange.mIdempotent && isRetryAllowed(exchange) && mBudget.tryRetry();
    }

    private void retryOrComplete(Exchange exchange, boolean retry, String reason) {
        if (retry) {
            retry(exchange);
        } else if (exchange.mRunningAttemptCount > 0 || mQueue.contains(exchange)) {
            return;
        } else if (exchange.mServerError != null) {
            exchange.complete(new RequestOutcome.Answered(exchange.mServerError));
        } else {
            exchange.refuse(reason);
        }
    }

    private void retry(Exchange exchange) {
        exchange.mRetryCount++;
        if (!tryDispatch(exchange)) {
            mQueue.addFirst(exchange);
        }
    }

    private Optional<EndpointId> chooseEndpoint(
            RoutingView.Service service, @Nullable Exchange exchange) {
        long nowNanos = mClock.nowNanos();
        if (service != mUsableService) {
            mUsableService = service;
            mUsableEndpoints =
                    service.usableEndpoints().stream().map(RoutingView.Endpoint::id).toList();
        }
        List<EndpointId> preferred = new ArrayList<>(mUsableEndpoints.size());
        List<EndpointId> avoided = new ArrayList<>();
        for (EndpointId id : mUsableEndpoints) {
            if (mUse.idle(id) < 1 || mHealth.isEjected(id, nowNanos)) {
                continue;
            }
            boolean tried = exchange != null && exchange.mTriedEndpoints.contains(id);
            (tried || mHealth.isAvoided(id, nowNanos) ? avoided : preferred).add(id);
        }
        return EndpointChooser.choose(
                preferred.isEmpty() ? avoided : preferred, mUse::used, mRandom);
    }

    private static final class Attempt {
        final Exchange mExchange;
        final RoutingView.Service mService;
        final EndpointId mEndpoint;
        final long mStartNanos;
        boolean mTimedOut;
        boolean mEnded;

        Attempt(
                Exchange exchange,
                RoutingView.Service service,
                EndpointId endpoint,
                long startNanos) {
            mExchange = exchange;
            mService = service;
            mEndpoint = endpoint;
            mStartNanos = startNanos;
        }
    }
}
