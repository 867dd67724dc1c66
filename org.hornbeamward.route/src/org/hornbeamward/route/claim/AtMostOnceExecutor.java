package org.hornbeamward.route.claim;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Runs non-idempotent requests at most once. A request is sent only after its claim was read back
 * from the log as the first claim for its key. If the claim was given up before that, its request
 * is never sent, even if the claim appears in the log later. Such a claim still occupies its key,
 * and repeats of the key are refused as not run. Thread-safe.
 */
public final class AtMostOnceExecutor {
    private static final int MAX_PENDING_COUNT = 10_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final String USE_NEW_KEY =
            "its claim was given up before it was sent; use a new Idempotency-Key";

    private final InstanceId mOwn;
    private final long mIncarnation;
    private final ClaimLog mLog;
    private final ClaimantQuery mQuery;
    private final MonotonicClock mClock;
    private final LongSupplier mWallMillis;
    private final AnswerCache mAnswers;
    private final Map<ClaimKey, ClaimedRequest> mPending = new HashMap<>();
    private final Map<Long, ClaimedRequest> mSending = new HashMap<>();
    private final Deque<ClaimedRequest> mAppendQueue = new ArrayDeque<>();
    private ClaimTable mTable = new ClaimTable();
    private boolean mAppending;
    private long mLastSequence;

    /**
     * Starts with an empty claim table.
     *
     * @param own this instance
     * @param incarnation incarnation of this process
     * @param log log to which claims are appended
     * @param query asks other claimants for the outcomes of their requests
     * @param clock monotonic clock for the deadlines
     * @param wallMillis wall clock for the author time of the records
     * @param maxAnswerBytes maximum memory for the answers that are cached for repeats
     */
    public AtMostOnceExecutor(
            InstanceId own,
            long incarnation,
            ClaimLog log,
            ClaimantQuery query,
            MonotonicClock clock,
            LongSupplier wallMillis,
            long maxAnswerBytes) {
        mOwn = own;
        mIncarnation = incarnation;
        mLog = log;
        mQuery = query;
        mClock = clock;
        mWallMillis = wallMillis;
        mAnswers = new AnswerCache(maxAnswerBytes);
    }

    /**
     * Replaces the claim table by one from a snapshot. To be called before the records that follow
     * the snapshot are applied.
     *
     * @param table the decoded table
     */
    public synchronized void restore(ClaimTable table) {
        mTable = table;
    }

    /**
     * Encodes the claim table for a snapshot.
     *
     * @return bytes for {@link ClaimTable#decode}
     */
    public synchronized byte[] encodeTable() {
        return mTable.encode();
    }

    /**
     * Runs a request unless its key was claimed before.
     *
     * @param key key of the request
     * @param digest digest of method, path and body
     * @param deadlineNanos monotonic time after which the claim is given up
     * @param refusal returns the reason why the request cannot be sent now, or null if it can;
     *     called before a new claim is made, so that a refused request does not use up its key
     * @param send sends the request; called at most once
     * @return the outcome of this request or of the one that it repeats. It may complete after the
     *     deadline, so the caller of this method must enforce the deadline itself.
     */
    public CompletionStage<RequestOutcome> run(
            ClaimKey key,
            long digest,
            long deadlineNanos,
            Supplier<@Nullable String> refusal,
            Supplier<CompletionStage<RequestOutcome>> send) {
        // Called outside this lock because it takes the lock of the sender.
        String reason = refusal.get();
        ClaimedRequest request;
        synchronized (this) {
            Optional<ClaimHolder> holder = mTable.find(key);
            if (holder.isEmpty()) {
                ClaimedRequest pending = mPending.get(key);
                if (pending != null) {
                    return pending.mClaim.digest() == digest ? pending.mOutcome : keyReused();
                }
                if (reason != null) {
                    return completed(new RequestOutcome.NotRun(reason));
                }
                if (mTable.isFull() || mPending.size() >= MAX_PENDING_COUNT) {
                    return completed(new RequestOutcome.NotRun("too many requests are claimed"));
                }
                request =
                        new ClaimedRequest(
                                new Claim(key, digest, ++mLastSequence), deadlineNanos, send);
                mPending.put(key, request);
                mAppendQueue.addLast(request);
            } else {
                request = null;
            }
        }
        if (request == null) {
            return outcomeOfRepeat(key, digest, deadlineNanos);
        }
        appendNext();
        return request.mOutcome;
    }

    /**
     * Applies a record of the requests stream and sends the requests of this instance whose claims
     * are the first for their keys.
     *
     * @param record the decoded record of any instance
     */
    public void apply(ClaimRecord record) {
        List<ClaimedRequest> won = new ArrayList<>();
        List<ClaimedRequest> lost = new ArrayList<>();
        List<ClaimedRequest> refused = new ArrayList<>();
        synchronized (this) {
            mTable.apply(record);
            boolean isOwnRecord =
                    record.instance().equals(mOwn) && record.incarnation() == mIncarnation;
            for (Claim claim : record.claims()) {
                ClaimedRequest request = mPending.get(claim.key());
                if (request == null) {
                    continue;
                }
                ClaimHolder holder = mTable.find(claim.key()).orElse(null);
                long sequence = request.mClaim.sequence();
                if (holder == null && !(isOwnRecord && claim.sequence() == sequence)) {
                    continue;
                }
                mPending.remove(claim.key());
                if (holder == null) {
                    refused.add(request);
                    cacheNotRun(request);
                } else if (isOwn(holder) && holder.sequence() == sequence) {
                    mSending.put(sequence, request);
                    won.add(request);
                } else {
                    lost.add(request);
                }
            }
        }
        refused.forEach(
                request ->
                        request.complete(
                                new RequestOutcome.NotRun("too many requests are claimed")));
        won.forEach(this::send);
        lost.forEach(
                request ->
                        outcomeOfRepeat(
                                        request.mClaim.key(),
                                        request.mClaim.digest(),
                                        request.mDeadlineNanos)
                                .thenAccept(request::complete));
    }

    /** Gives up pending claims whose deadline has passed. To be called every few milliseconds. */
    public void expire() {
        List<ClaimedRequest> expired = new ArrayList<>();
        synchronized (this) {
            long nowNanos = mClock.nowNanos();
            for (ClaimedRequest request : List.copyOf(mPending.values())) {
                if (nowNanos - request.mDeadlineNanos >= 0) {
                    mPending.remove(request.mClaim.key());
                    cacheNotRun(request);
                    expired.add(request);
                }
            }
        }
        expired.forEach(
                request ->
                        request.complete(
                                new RequestOutcome.NotRun(
                                        "its claim was not read back within the deadline")));
    }

    /**
     * Answers the query of another instance about a claim of this instance.
     *
     * @param incarnation incarnation that made the claim
     * @param key the claimed key
     * @param sequence sequence number of the claim
     * @return the outcome, completed once it is known
     */
    public CompletionStage<RequestOutcome> answerQuery(
            long incarnation, ClaimKey key, long sequence) {
        if (incarnation != mIncarnation) {
            return completed(new RequestOutcome.Unknown("the claimant restarted since its claim"));
        }
        synchronized (this) {
            ClaimedRequest pending = mPending.get(key);
            if (pending != null && pending.mClaim.sequence() == sequence) {
                // The asking instance has read further in the log than this one: the claim is the
                // first for its key, but this instance has not applied its record yet.
                return pending.mOutcome;
            }
        }
        return ownOutcome(sequence);
    }

    private CompletionStage<RequestOutcome> outcomeOfRepeat(
            ClaimKey key, long digest, long deadlineNanos) {
        ClaimHolder holder;
        synchronized (this) {
            holder = mTable.find(key).orElse(null);
        }
        if (holder == null) {
            return completed(new RequestOutcome.Unknown("its claim has expired"));
        }
        if (holder.digest() != digest) {
            return keyReused();
        }
        if (isOwn(holder)) {
            return ownOutcome(holder.sequence());
        }
        if (holder.instance().equals(mOwn)) {
            return completed(new RequestOutcome.Unknown("this instance restarted since its claim"));
        }
        long remainingMillis = (deadlineNanos - mClock.nowNanos()) / NANOS_PER_MILLI;
        return mQuery.ask(holder, key, Math.max(1, remainingMillis));
    }

    private synchronized CompletionStage<RequestOutcome> ownOutcome(long sequence) {
        ClaimedRequest sending = mSending.get(sequence);
        if (sending != null) {
            return sending.mOutcome;
        }
        return completed(
                mAnswers.find(sequence)
                        .orElseGet(
                                () -> new RequestOutcome.Unknown("its answer is no longer kept")));
    }

    private void send(ClaimedRequest request) {
        if (mClock.nowNanos() - request.mDeadlineNanos >= 0) {
            finish(request, new RequestOutcome.NotRun("the deadline passed before it was sent"));
            return;
        }
        CompletionStage<RequestOutcome> sent;
        try {
            sent = request.mSend.get();
        } catch (RuntimeException e) {
            finish(request, new RequestOutcome.Unknown("sending failed: " + e));
            return;
        }
        sent.whenComplete(
                (outcome, failure) ->
                        finish(
                                request,
                                failure == null
                                        ? outcome
                                        : new RequestOutcome.Unknown("failed: " + failure)));
    }

    private void finish(ClaimedRequest request, RequestOutcome outcome) {
        synchronized (this) {
            long sequence = request.mClaim.sequence();
            mSending.remove(sequence);
            mAnswers.put(sequence, outcomeForRepeats(outcome), mClock.nowNanos());
        }
        request.complete(outcome);
    }

    private static RequestOutcome outcomeForRepeats(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.NotRun
                ? new RequestOutcome.NotRun(USE_NEW_KEY)
                : outcome;
    }

    private void cacheNotRun(ClaimedRequest request) {
        mAnswers.put(
                request.mClaim.sequence(),
                new RequestOutcome.NotRun(USE_NEW_KEY),
                mClock.nowNanos());
    }

    private void appendNext() {
        List<ClaimedRequest> batch = new ArrayList<>();
        ClaimRecord record;
        synchronized (this) {
            if (mAppending) {
                return;
            }
            while (!mAppendQueue.isEmpty() && batch.size() < ClaimRecord.MAX_CLAIMS) {
                ClaimedRequest request = mAppendQueue.removeFirst();
                if (isStillPending(request)) {
                    batch.add(request);
                }
            }
            if (batch.isEmpty()) {
                return;
            }
            mAppending = true;
            List<Claim> claims = batch.stream().map(request -> request.mClaim).toList();
            record = new ClaimRecord(mOwn, mIncarnation, mWallMillis.getAsLong(), claims);
        }
        append(record).whenComplete((offset, failure) -> onAppended(batch, offset, failure));
    }

    private CompletionStage<Either<HornbeamwardError, Long>> append(ClaimRecord record) {
        try {
            return mLog.append(record);
        } catch (RuntimeException e) {
            return CompletableFuture.failedStage(e);
        }
    }

    private void onAppended(
            List<ClaimedRequest> batch,
            @Nullable Either<HornbeamwardError, Long> offset,
            @Nullable Throwable failure) {
        List<ClaimedRequest> failed = new ArrayList<>();
        boolean succeeded = failure == null && offset != null && offset.isRight();
        synchronized (this) {
            mAppending = false;
            for (ClaimedRequest request : succeeded ? List.<ClaimedRequest>of() : batch) {
                if (isStillPending(request)) {
                    mPending.remove(request.mClaim.key());
                    cacheNotRun(request);
                    failed.add(request);
                }
            }
        }
        failed.forEach(
                request ->
                        request.complete(
                                new RequestOutcome.NotRun(
                                        "the platform's log is unavailable; repeat with the same"
                                                + " Idempotency-Key")));
        appendNext();
    }

    private boolean isStillPending(ClaimedRequest request) {
        return mPending.get(request.mClaim.key()) == request;
    }

    private boolean isOwn(ClaimHolder holder) {
        return holder.instance().equals(mOwn) && holder.incarnation() == mIncarnation;
    }

    private static CompletionStage<RequestOutcome> keyReused() {
        return completed(new RequestOutcome.KeyReused());
    }

    private static CompletionStage<RequestOutcome> completed(RequestOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    private static final class ClaimedRequest {
        final Claim mClaim;
        final long mDeadlineNanos;
        final Supplier<CompletionStage<RequestOutcome>> mSend;
        final CompletableFuture<RequestOutcome> mOutcome = new CompletableFuture<>();

        ClaimedRequest(
                Claim claim, long deadlineNanos, Supplier<CompletionStage<RequestOutcome>> send) {
            mClaim = claim;
            mDeadlineNanos = deadlineNanos;
            mSend = send;
        }

        void complete(RequestOutcome outcome) {
            mOutcome.complete(outcome);
        }
    }
}
