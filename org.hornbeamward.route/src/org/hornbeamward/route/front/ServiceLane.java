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
import org.hornbeamward.route.retry.Admission;
import org.hornbeamward.route.retry.EndpointChooser;
import org.hornbeamward.route.retry.EndpointHealth;
import org.hornbeamward.route.retry.RetryBudget;
import org.hornbeamward.route.retry.RetryPolicy;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.jspecify.annotations.Nullable;

/**
 * The requests of one service: a bounded queue, slots, attempts and retries. Safe for use by any
 * thread.
 */
public final class ServiceLane {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int FIRST_SERVER_ERROR = 500;

    private final String mName;
    private final FrontConfig mConfig;
    private final SlotUse mUse;
    private final AttemptSender mSender;
    private final Timer mTimer;
    private final MonotonicClock mClock;
    private final Supplier<RoutingView> mView;
    private final Admission mAdmission;
    private final RetryPolicy mPolicy;
    private final RandomGenerator mRandom;
    private final EndpointHealth mHealth;
    private final RetryBudget mBudget;
    private final Deque<Exchange> mQueue = new ArrayDeque<>();
    private RoutingView.@Nullable Service mUsableOf;
    private List<EndpointId> mUsable = List.of();

    /**
     * Creates a lane without requests.
     *
     * @param name name of the service
     * @param config settings of the front
     * @param policy how attempts are repeated
     * @param use this member's slots
     * @param sender sends attempts
     * @param timer runs the deadlines
     * @param clock clock of the deadlines
     * @param random source of endpoint choices, used under the lane's lock
     * @param view returns the view in force
     */
    public ServiceLane(
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
        mAdmission = new Admission(config.maxQueueCount(), policy.shedding());
        mHealth = new EndpointHealth(policy.ejectAfterCount());
        mBudget = new RetryBudget(policy.retryRatio(), policy.retryBurstCount());
    }

    /**
     * Returns the requests that wait for a slot.
     *
     * @return their number
     */
    public synchronized int queuedCount() {
        return mQueue.size();
    }

    /**
     * Tells whether a request would be refused now.
     *
     * @param deadlineNanos its deadline
     * @return why, or null if it would be sent or queued
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
        if (mQueue.isEmpty() && choose(service, null).isPresent()) {
            return null;
        }
        int slotCount =
                service.usable().stream().mapToInt(RoutingView.Endpoint::heldSlotCount).sum();
        return mAdmission.admits(mQueue.size(), slotCount, remainingNanos)
                ? null
                : "all slots are busy for longer than its deadline allows";
    }

    /**
     * Sends or queues a request.
     *
     * @param call the request
     * @param deadlineNanos its deadline
     * @param idempotent whether it may be repeated after a byte was sent
     * @return the outcome, at the latest at the deadline
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
            exchange.mTimer =
                    mTimer.newTimeout(
                            unused -> expire(exchange),
                            deadlineNanos - mClock.nowNanos(),
                            TimeUnit.NANOSECONDS);
            if (!mQueue.isEmpty() || !dispatch(exchange)) {
                mQueue.addLast(exchange);
            }
        }
        return exchange.mOutcome;
    }

    /** Sends what waits, as far as there are free slots. */
    public synchronized void drain() {
        while (!mQueue.isEmpty()) {
            Exchange exchange = mQueue.removeFirst();
            if (exchange.isDone()) {
                continue;
            }
            if (!mAdmission.isWorthSending(exchange.mDeadlineNanos - mClock.nowNanos())) {
                // An earlier attempt may still answer; the deadline's timer ends the request.
                if (exchange.mRunningCount == 0) {
                    exchange.refuse("no slot was free early enough before its deadline");
                }
            } else if (!dispatch(exchange)) {
                mQueue.addFirst(exchange);
                return;
            }
        }
    }

    private synchronized void expire(Exchange exchange) {
        mQueue.remove(exchange);
        if (!exchange.isDone()) {
            exchange.refuse(
                    exchange.mSentCount == 0
                            ? "no slot was free before its deadline"
                            : "no answer came before its deadline");
        }
    }

    /** Starts an attempt; false if no slot is free or this member may not use slots. */
    private boolean dispatch(Exchange exchange) {
        RoutingView view = mView.get();
        RoutingView.Service service = view.services().get(mName);
        if (!view.active() || service == null) {
            return false;
        }
        Optional<EndpointId> chosen = choose(service, exchange);
        while (chosen.isPresent() && !mUse.tryAcquire(chosen.get())) {
            chosen = choose(service, exchange);
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
        start(exchange, service, endpoint, nowNanos, remainingMillis);
        return true;
    }

    private void start(
            Exchange exchange,
            RoutingView.Service service,
            RoutingView.Endpoint endpoint,
            long startNanos,
            long remainingMillis) {
        Attempt attempt = new Attempt(exchange, service, endpoint.id(), startNanos);
        mHealth.sent(endpoint.id(), startNanos);
        exchange.mTried.add(endpoint.id());
        exchange.mRunningCount++;
        exchange.mSentCount++;
        if (mPolicy.attemptTimeouts()
                && exchange.mIdempotent
                && service.attemptMillis() < remainingMillis) {
            mTimer.newTimeout(
                    unused -> attemptTimedOut(attempt),
                    service.attemptMillis(),
                    TimeUnit.MILLISECONDS);
        }
        mSender.send(endpoint.address(), exchange.mCall, remainingMillis, service.timeoutMillis())
                .thenAccept(result -> ended(attempt, result));
    }

    private synchronized void attemptTimedOut(Attempt attempt) {
        Exchange exchange = attempt.mExchange;
        if (attempt.mEnded || exchange.isDone()) {
            return;
        }
        attempt.mTimedOut = true;
        failed(attempt);
        if (mayRetry(exchange) && mBudget.tryRetry()) {
            retry(exchange);
        }
    }

    private synchronized void ended(Attempt attempt, SendResult result) {
        attempt.mEnded = true;
        Exchange exchange = attempt.mExchange;
        exchange.mRunningCount--;
        long nowNanos = mClock.nowNanos();
        switch (result) {
            case SendResult.Answered answered -> {
                mUse.release(attempt.mEndpoint);
                mAdmission.sample(nowNanos - attempt.mStartNanos);
                answered(attempt, answered.reply());
            }
            case SendResult.NotSent notSent -> {
                mUse.release(attempt.mEndpoint);
                exchange.mSentCount--;
                failed(attempt);
                if (!exchange.isDone()) {
                    retryOrEnd(exchange, mayRetry(exchange), notSent.reason());
                }
            }
            case SendResult.Broken broken -> {
                releaseLater(attempt, broken, nowNanos);
                failed(attempt);
                if (!exchange.isDone()) {
                    retryOrEnd(exchange, mayRepeat(exchange), broken.reason());
                }
            }
        }
        drain();
    }

    private void answered(Attempt attempt, HttpReply reply) {
        Exchange exchange = attempt.mExchange;
        if (reply.status() < FIRST_SERVER_ERROR) {
            if (!attempt.mTimedOut) {
                mHealth.succeeded(attempt.mEndpoint);
            }
            // An answer after the deadline is discarded here: the exchange is complete.
            exchange.complete(new RequestOutcome.Answered(reply));
            return;
        }
        failed(attempt);
        if (!exchange.isDone()) {
            exchange.mServerError = reply;
            retryOrEnd(exchange, mayRepeat(exchange), "the endpoint failed");
        }
    }

    /** The endpoint may still be working, so the slot stays in use for the longest time. */
    private void releaseLater(Attempt attempt, SendResult.Broken broken, long nowNanos) {
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

    private void failed(Attempt attempt) {
        int knownCount = attempt.mService.usable().size();
        mHealth.failed(attempt.mEndpoint, knownCount, mClock.nowNanos());
    }

    private boolean mayRetry(Exchange exchange) {
        return exchange.mRetryCount < mConfig.maxRetryCount()
                && mAdmission.isWorthSending(exchange.mDeadlineNanos - mClock.nowNanos());
    }

    private boolean mayRepeat(Exchange exchange) {
        return exchange.mIdempotent && mayRetry(exchange) && mBudget.tryRetry();
    }

    private void retryOrEnd(Exchange exchange, boolean retry, String reason) {
        if (retry) {
            retry(exchange);
        } else if (exchange.mRunningCount > 0 || mQueue.contains(exchange)) {
            return;
        } else if (exchange.mServerError != null) {
            exchange.complete(new RequestOutcome.Answered(exchange.mServerError));
        } else {
            exchange.refuse(reason);
        }
    }

    private void retry(Exchange exchange) {
        exchange.mRetryCount++;
        if (!dispatch(exchange)) {
            mQueue.addFirst(exchange);
        }
    }

    private Optional<EndpointId> choose(RoutingView.Service service, @Nullable Exchange exchange) {
        long nowNanos = mClock.nowNanos();
        if (service != mUsableOf) {
            mUsableOf = service;
            mUsable = service.usable().stream().map(RoutingView.Endpoint::id).toList();
        }
        List<EndpointId> preferred = new ArrayList<>(mUsable.size());
        List<EndpointId> others = new ArrayList<>();
        for (EndpointId id : mUsable) {
            if (mUse.idle(id) < 1 || mHealth.isEjected(id, nowNanos)) {
                continue;
            }
            boolean tried = exchange != null && exchange.mTried.contains(id);
            (tried || mHealth.isAvoided(id, nowNanos) ? others : preferred).add(id);
        }
        return EndpointChooser.choose(
                preferred.isEmpty() ? others : preferred, mUse::used, mRandom);
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
