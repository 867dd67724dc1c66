package org.hornbeamward.storage.list;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.PeerUnreachable;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.storage.internal.HttpResponse;
import org.hornbeamward.storage.internal.LimitedHttpClient;
import org.jspecify.annotations.Nullable;

/**
 * Polls the platform's instance list. A list that is empty, malformed or older than the last valid
 * one is ignored and logged, and the last valid list stays in use. The request carries the entity
 * tag of that list, so that a service which supports it can respond with 304 and no body.
 */
public final class InstanceListPoller implements Duty, AutoCloseable {
    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;
    private static final long RESPONSE_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LimitedHttpClient mHttp;
    private final long mPollNanos;
    private final long mTimeoutMillis;
    private final Consumer<? super InstanceList> mOnChange;
    private final MonotonicClock mClock;
    private final AtomicLong mIgnoredCount = new AtomicLong();
    private volatile @Nullable Accepted mAccepted;
    private volatile @Nullable HornbeamwardError mLastProblem;

    private long mNextPollNanos;
    private boolean mHasPolled;
    private long mSentNanos;
    private String mLastLoggedMessage = "";
    private @Nullable CompletableFuture<Either<HornbeamwardError, HttpResponse>> mPendingPoll;

    private record Accepted(InstanceList list, long sentNanos, @Nullable String entityTag) {}

    /**
     * Creates a poller.
     *
     * @param host host name or address of the list service
     * @param port its port
     * @param pollMillis interval between the starts of two requests
     * @param timeoutMillis timeout of one request
     * @param onChange called on the poller's thread with each valid list that differs from the last
     * @param clock the monotonic clock
     */
    public InstanceListPoller(
            String host,
            int port,
            long pollMillis,
            long timeoutMillis,
            Consumer<? super InstanceList> onChange,
            MonotonicClock clock) {
        mHttp = new LimitedHttpClient("list-client", host, port, timeoutMillis);
        mPollNanos = TimeUnit.MILLISECONDS.toNanos(pollMillis);
        mTimeoutMillis = timeoutMillis;
        mOnChange = onChange;
        mClock = clock;
    }

    /**
     * Returns the last valid list. May be called by any thread.
     *
     * @return the list, or empty before the first one
     */
    public Optional<InstanceList> current() {
        return Optional.ofNullable(mAccepted).map(Accepted::list);
    }

    /**
     * Returns the age of the last valid list. May be called by any thread.
     *
     * @return nanoseconds since the request that returned it was sent, or empty before the first
     *     list
     */
    public OptionalLong ageNanos() {
        Accepted accepted = mAccepted;
        return accepted == null
                ? OptionalLong.empty()
                : OptionalLong.of(mClock.nowNanos() - accepted.sentNanos());
    }

    /**
     * Returns why the last poll returned no valid list. May be called by any thread.
     *
     * @return the reason, or empty if the last poll returned a valid list
     */
    public Optional<HornbeamwardError> lastProblem() {
        return Optional.ofNullable(mLastProblem);
    }

    /**
     * Returns the number of polls that returned no valid list. May be called by any thread.
     *
     * @return number of polls
     */
    public long ignoredCount() {
        return mIgnoredCount.get();
    }

    @Override
    public String name() {
        return "list-poller";
    }

    @Override
    public void runOnce() throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException();
        }
        CompletableFuture<Either<HornbeamwardError, HttpResponse>> poll = mPendingPoll;
        if (poll != null) {
            awaitResponse(poll);
            return;
        }
        long nowNanos = mClock.nowNanos();
        if (mHasPolled && mNextPollNanos - nowNanos > 0) {
            LockSupport.parkNanos(this, Math.min(mNextPollNanos - nowNanos, MAX_PARK_NANOS));
            return;
        }
        mHasPolled = true;
        mSentNanos = nowNanos;
        mNextPollNanos = nowNanos + mPollNanos;
        Accepted accepted = mAccepted;
        Map<String, String> headers =
                accepted == null || accepted.entityTag() == null
                        ? Map.of()
                        : Map.of("If-None-Match", accepted.entityTag());
        mPendingPoll = mHttp.get("/instances", headers, mTimeoutMillis, MAX_LIST_BYTES);
    }

    private void awaitResponse(CompletableFuture<Either<HornbeamwardError, HttpResponse>> poll) {
        if (!poll.isDone()) {
            LockSupport.parkNanos(this, RESPONSE_PARK_NANOS);
            return;
        }
        mPendingPoll = null;
        poll.exceptionally(failure -> Either.left(unreachable(failure.toString())))
                .join()
                .flatMap(this::validate)
                .peek(this::accept)
                .peekLeft(this::ignore);
    }

    private Either<HornbeamwardError, Accepted> validate(HttpResponse response) {
        Accepted last = mAccepted;
        if (response.status() == 304 && last != null) {
            return Either.right(new Accepted(last.list(), mSentNanos, last.entityTag()));
        }
        if (response.status() != 200) {
            return Either.left(unreachable("status " + response.status()));
        }
        String entityTag = response.headers().get(HttpHeaderNames.ETAG);
        return InstanceListCodec.decode(response.body())
                .<HornbeamwardError>mapLeft(problems -> problems)
                .flatMap(InstanceListPoller::rejectEmpty)
                .flatMap(list -> rejectOlderVersion(list, last))
                .map(list -> new Accepted(list, mSentNanos, entityTag));
    }

    private static Either<HornbeamwardError, InstanceList> rejectEmpty(InstanceList list) {
        return list.entries().isEmpty()
                ? Either.left(
                        new InvalidSetting(
                                "instances",
                                "expected at least one; check the platform's list service"))
                : Either.right(list);
    }

    private static Either<HornbeamwardError, InstanceList> rejectOlderVersion(
            InstanceList list, @Nullable Accepted last) {
        if (last == null || list.version() >= last.list().version()) {
            return Either.right(list);
        }
        String detail =
                list.version()
                        + " is lower than "
                        + last.list().version()
                        + " seen before; check the platform's list service";
        return Either.left(new InvalidSetting("version", detail));
    }

    private HornbeamwardError unreachable(String detail) {
        return new PeerUnreachable(mHttp.address(), "instance list: " + detail);
    }

    private void accept(Accepted accepted) {
        Accepted last = mAccepted;
        mAccepted = accepted;
        mLastProblem = null;
        mLastLoggedMessage = "";
        if (last == null || !last.list().equals(accepted.list())) {
            mOnChange.accept(accepted.list());
        }
    }

    private void ignore(HornbeamwardError error) {
        mLastProblem = error;
        mIgnoredCount.incrementAndGet();
        // Logs a problem that repeats in consecutive polls only once.
        if (!mLastLoggedMessage.equals(error.message())) {
            mLastLoggedMessage = error.message();
            LogEvent.LIST_IGNORED.log(error.message());
        }
    }

    /** Closes the connections. The duty must be stopped first. */
    @Override
    public void close() {
        mHttp.close();
    }
}
