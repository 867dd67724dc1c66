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
 * as the first for its key. A claim that was given up before that is never sent, even if it appears
 * in the log later: it keeps its key, and repeats of the key are refused as not run. Safe for use
 * by any thread.
 */
public final class ClaimDesk {
    private static final int MAX_PENDING = 10_000;
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
    private final Map<ClaimKey, Attempt> mPending = new HashMap<>();
    private final Map<Long, Attempt> mSending = new HashMap<>();
    private final Deque<Attempt> mGroup = new ArrayDeque<>();
    private ClaimTable mTable = new ClaimTable();
    private boolean mAppending;
    private long mLastSequence;

    /**
     * Creates a desk that has read nothing.
     *
     * @param own this instance
     * @param incarnation its incarnation
     * @param log where claims are appended
     * @param query asks other claimants
     * @param clock clock of the deadlines
     * @param wallMillis wall clock for the records
     * @param maxAnswerBytes memory for answers to repeats
     */
    public ClaimDesk(
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
     * Replaces the table by one of a snapshot, before the tail of the stream is applied.
     *
     * @param table the decoded table
     */
    public synchronized void restore(ClaimTable table) {
        mTable = table;
    }

    /**
     * Encodes the table for a snapshot.
     *
     * @return bytes for {@link ClaimTable#decode}
     */
    public synchronized byte[] encodeTable() {
        return mTable.encode();
    }

    /**
     * Runs a request unless it was claimed before.
     *
     * @param key its key
     * @param digest digest of method, path and body
     * @param deadlineNanos time after which the claim is given up
     * @param refusal tells why the request could not be sent now, or null; asked before a new
     *     claim, so that a refused request does not use up its key
     * @param send sends the request; called at most once
     * @return the outcome of this request or of the one that it repeats. It may come after the
     *     deadline; the caller answers its own caller in time.
     */
    public CompletionStage<RequestOutcome> run(
            ClaimKey key,
            long digest,
            long deadlineNanos,
            Supplier<@Nullable String> refusal,
            Supplier<CompletionStage<RequestOutcome>> send) {
        // Asked outside the lock, since it takes the lock of the sender.
        String reason = refusal.get();
        Attempt attempt;
        synchronized (this) {
            Optional<ClaimHolder> holder = mTable.find(key);
            if (holder.isEmpty()) {
                Attempt pending = mPending.get(key);
                if (pending != null) {
                    return pending.mClaim.digest() == digest ? pending.mOutcome : keyReused();
                }
                if (reason != null) {
                    return done(new RequestOutcome.NotRun(reason));
                }
                if (mTable.isFull() || mPending.size() >= MAX_PENDING) {
                    return done(new RequestOutcome.NotRun("too many requests are claimed"));
                }
                attempt = new Attempt(new Claim(key, digest, ++mLastSequence), deadlineNanos, send);
                mPending.put(key, attempt);
                mGroup.addLast(attempt);
            } else {
                attempt = null;
            }
        }
        if (attempt == null) {
            return repeat(key, digest, deadlineNanos);
        }
        appendNext();
        return attempt.mOutcome;
    }

    /**
     * Applies a record of the requests stream and sends the requests whose claims won.
     *
     * @param record the decoded record, own or not
     */
    public void apply(ClaimRecord record) {
        List<Attempt> won = new ArrayList<>();
        List<Attempt> lost = new ArrayList<>();
        List<Attempt> refused = new ArrayList<>();
        synchronized (this) {
            mTable.apply(record);
            boolean own = record.instance().equals(mOwn) && record.incarnation() == mIncarnation;
            for (Claim claim : record.claims()) {
                Attempt attempt = mPending.get(claim.key());
                if (attempt == null) {
                    continue;
                }
                ClaimHolder holder = mTable.find(claim.key()).orElse(null);
                long sequence = attempt.mClaim.sequence();
                if (holder == null && !(own && claim.sequence() == sequence)) {
                    continue;
                }
                mPending.remove(claim.key());
                if (holder == null) {
                    refused.add(attempt);
                    giveUp(attempt);
                } else if (isOwn(holder) && holder.sequence() == sequence) {
                    mSending.put(sequence, attempt);
                    won.add(attempt);
                } else {
                    lost.add(attempt);
                }
            }
        }
        refused.forEach(
                attempt ->
                        attempt.complete(
                                new RequestOutcome.NotRun("too many requests are claimed")));
        won.forEach(this::send);
        lost.forEach(
                attempt ->
                        repeat(
                                        attempt.mClaim.key(),
                                        attempt.mClaim.digest(),
                                        attempt.mDeadlineNanos)
                                .thenAccept(attempt::complete));
    }

    /** Gives up the claims whose deadline has passed; to be called every few milliseconds. */
    public void expire() {
        List<Attempt> expired = new ArrayList<>();
        synchronized (this) {
            long nowNanos = mClock.nowNanos();
            for (Attempt attempt : List.copyOf(mPending.values())) {
                if (nowNanos - attempt.mDeadlineNanos >= 0) {
                    mPending.remove(attempt.mClaim.key());
                    giveUp(attempt);
                    expired.add(attempt);
                }
            }
        }
        expired.forEach(
                attempt ->
                        attempt.complete(
                                new RequestOutcome.NotRun(
                                        "its claim was not read back within the deadline")));
    }

    /**
     * Answers another instance's question about a claim of this instance.
     *
     * @param incarnation incarnation that made the claim
     * @param key the key
     * @param sequence number of the claim
     * @return the outcome, once it is known
     */
    public CompletionStage<RequestOutcome> answerQuery(
            long incarnation, ClaimKey key, long sequence) {
        if (incarnation != mIncarnation) {
            return done(new RequestOutcome.Unknown("the claimant restarted since its claim"));
        }
        synchronized (this) {
            Attempt pending = mPending.get(key);
            if (pending != null && pending.mClaim.sequence() == sequence) {
                // The asker has read further than this instance; the claim is about to win.
                return pending.mOutcome;
            }
        }
        return ownOutcome(sequence);
    }

    private CompletionStage<RequestOutcome> repeat(ClaimKey key, long digest, long deadlineNanos) {
        ClaimHolder holder;
        synchronized (this) {
            holder = mTable.find(key).orElse(null);
        }
        if (holder == null) {
            return done(new RequestOutcome.Unknown("its claim has expired"));
        }
        if (holder.digest() != digest) {
            return keyReused();
        }
        if (isOwn(holder)) {
            return ownOutcome(holder.sequence());
        }
        if (holder.instance().equals(mOwn)) {
            return done(new RequestOutcome.Unknown("this instance restarted since its claim"));
        }
        long remainingMillis = (deadlineNanos - mClock.nowNanos()) / NANOS_PER_MILLI;
        return mQuery.ask(holder, key, Math.max(1, remainingMillis));
    }

    private synchronized CompletionStage<RequestOutcome> ownOutcome(long sequence) {
        Attempt sending = mSending.get(sequence);
        if (sending != null) {
            return sending.mOutcome;
        }
        return done(
                mAnswers.find(sequence)
                        .orElseGet(
                                () -> new RequestOutcome.Unknown("its answer is no longer kept")));
    }

    private void send(Attempt attempt) {
        if (mClock.nowNanos() - attempt.mDeadlineNanos >= 0) {
            finish(attempt, new RequestOutcome.NotRun("the deadline passed before it was sent"));
            return;
        }
        CompletionStage<RequestOutcome> sent;
        try {
            sent = attempt.mSend.get();
        } catch (RuntimeException e) {
            finish(attempt, new RequestOutcome.Unknown("sending failed: " + e));
            return;
        }
        sent.whenComplete(
                (outcome, failure) ->
                        finish(
                                attempt,
                                failure == null
                                        ? outcome
                                        : new RequestOutcome.Unknown("failed: " + failure)));
    }

    private void finish(Attempt attempt, RequestOutcome outcome) {
        synchronized (this) {
            long sequence = attempt.mClaim.sequence();
            mSending.remove(sequence);
            mAnswers.put(sequence, forRepeats(outcome), mClock.nowNanos());
        }
        attempt.complete(outcome);
    }

    private static RequestOutcome forRepeats(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.NotRun
                ? new RequestOutcome.NotRun(USE_NEW_KEY)
                : outcome;
    }

    private void giveUp(Attempt attempt) {
        mAnswers.put(
                attempt.mClaim.sequence(),
                new RequestOutcome.NotRun(USE_NEW_KEY),
                mClock.nowNanos());
    }

    private void appendNext() {
        List<Attempt> group = new ArrayList<>();
        ClaimRecord record;
        synchronized (this) {
            if (mAppending) {
                return;
            }
            while (!mGroup.isEmpty() && group.size() < ClaimRecord.MAX_CLAIMS) {
                Attempt attempt = mGroup.removeFirst();
                if (isPending(attempt)) {
                    group.add(attempt);
                }
            }
            if (group.isEmpty()) {
                return;
            }
            mAppending = true;
            List<Claim> claims = group.stream().map(attempt -> attempt.mClaim).toList();
            record = new ClaimRecord(mOwn, mIncarnation, mWallMillis.getAsLong(), claims);
        }
        append(record).whenComplete((offset, failure) -> appended(group, offset, failure));
    }

    private CompletionStage<Either<HornbeamwardError, Long>> append(ClaimRecord record) {
        try {
            return mLog.append(record);
        } catch (RuntimeException e) {
            return CompletableFuture.failedStage(e);
        }
    }

    private void appended(
            List<Attempt> group,
            @Nullable Either<HornbeamwardError, Long> offset,
            @Nullable Throwable failure) {
        List<Attempt> failed = new ArrayList<>();
        boolean ok = failure == null && offset != null && offset.isRight();
        synchronized (this) {
            mAppending = false;
            for (Attempt attempt : ok ? List.<Attempt>of() : group) {
                if (isPending(attempt)) {
                    mPending.remove(attempt.mClaim.key());
                    giveUp(attempt);
                    failed.add(attempt);
                }
            }
        }
        failed.forEach(
                attempt ->
                        attempt.complete(
                                new RequestOutcome.NotRun(
                                        "the platform's log is unavailable; repeat with the same"
                                                + " Idempotency-Key")));
        appendNext();
    }

    private boolean isPending(Attempt attempt) {
        return mPending.get(attempt.mClaim.key()) == attempt;
    }

    private boolean isOwn(ClaimHolder holder) {
        return holder.instance().equals(mOwn) && holder.incarnation() == mIncarnation;
    }

    private static CompletionStage<RequestOutcome> keyReused() {
        return done(new RequestOutcome.KeyReused());
    }

    private static CompletionStage<RequestOutcome> done(RequestOutcome outcome) {
        return CompletableFuture.completedFuture(outcome);
    }

    private static final class Attempt {
        final Claim mClaim;
        final long mDeadlineNanos;
        final Supplier<CompletionStage<RequestOutcome>> mSend;
        final CompletableFuture<RequestOutcome> mOutcome = new CompletableFuture<>();

        Attempt(Claim claim, long deadlineNanos, Supplier<CompletionStage<RequestOutcome>> send) {
            mClaim = claim;
            mDeadlineNanos = deadlineNanos;
            mSend = send;
        }

        void complete(RequestOutcome outcome) {
            mOutcome.complete(outcome);
        }
    }
}
