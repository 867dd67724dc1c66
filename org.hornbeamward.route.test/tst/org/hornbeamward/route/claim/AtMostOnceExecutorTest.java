package org.hornbeamward.route.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.transport.http.HttpReply;
import org.junit.jupiter.api.Test;

/**
 * Guards against a non-idempotent request that runs twice, and against an outcome "not run" for a
 * request that may have run.
 */
class AtMostOnceExecutorTest {
    private static final ClaimKey KEY = ClaimKey.of("loan", "issue-1");
    private static final long DIGEST = ClaimKey.digest("POST", "/loan/issue", new byte[] {1});

    private final List<ClaimRecord> mAppended = new ArrayList<>();
    private final List<CompletableFuture<RequestOutcome>> mSent = new ArrayList<>();
    private Either<HornbeamwardError, Long> mAppendResult = Either.right(0L);
    private long mNowNanos;

    private AtMostOnceExecutor executor(String instance, ClaimantQuery query) {
        return new AtMostOnceExecutor(
                new InstanceId(instance),
                1,
                record -> {
                    mAppended.add(record);
                    return CompletableFuture.completedFuture(mAppendResult);
                },
                query,
                () -> mNowNanos,
                () -> 0,
                10_000);
    }

    private AtMostOnceExecutor executor() {
        return executor("a", (holder, key, millis) -> new CompletableFuture<>());
    }

    private CompletableFuture<RequestOutcome> run(AtMostOnceExecutor executor, long digest) {
        return executor.run(KEY, digest, 1_000, () -> null, this::send).toCompletableFuture();
    }

    private CompletionStage<RequestOutcome> send() {
        CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
        mSent.add(outcome);
        return outcome;
    }

    private static RequestOutcome now(CompletableFuture<RequestOutcome> outcome) {
        assertTrue(outcome.isDone());
        return outcome.join();
    }

    private static RequestOutcome answer() {
        return new RequestOutcome.Answered(HttpReply.json(200, "{}"));
    }

    @Test
    void requestIsSentOnlyAfterItsClaimWasReadBackAndRepeatsGetItsAnswer() {
        AtMostOnceExecutor executor = executor();
        CompletableFuture<RequestOutcome> first = run(executor, DIGEST);
        assertTrue(mSent.isEmpty());
        executor.apply(mAppended.get(0));
        executor.apply(mAppended.get(0));
        assertEquals(1, mSent.size());
        CompletableFuture<RequestOutcome> repeat = run(executor, DIGEST);
        assertFalse(repeat.isDone());
        mSent.get(0).complete(answer());
        assertInstanceOf(RequestOutcome.Answered.class, now(first));
        assertEquals(now(first), now(repeat));
        assertEquals(now(first), now(run(executor, DIGEST)));
        assertEquals(1, mSent.size());
    }

    @Test
    void anotherRequestUnderTheKeyIsRefused() {
        AtMostOnceExecutor executor = executor();
        run(executor, DIGEST);
        assertInstanceOf(RequestOutcome.KeyReused.class, now(run(executor, DIGEST + 1)));
        executor.apply(mAppended.get(0));
        assertInstanceOf(RequestOutcome.KeyReused.class, now(run(executor, DIGEST + 1)));
    }

    @Test
    void claimGivenUpIsNeverSentWhenItAppearsLater() {
        AtMostOnceExecutor executor = executor();
        CompletableFuture<RequestOutcome> first = run(executor, DIGEST);
        mNowNanos = 2_000;
        executor.expire();
        assertInstanceOf(RequestOutcome.NotRun.class, now(first));
        mNowNanos = 500;
        CompletableFuture<RequestOutcome> second = run(executor, DIGEST);
        executor.apply(mAppended.get(0));
        assertInstanceOf(RequestOutcome.NotRun.class, now(second));
        executor.apply(mAppended.get(1));
        assertInstanceOf(RequestOutcome.NotRun.class, now(run(executor, DIGEST)));
        assertTrue(mSent.isEmpty());
    }

    @Test
    void requestIsNotRunWhileTheLogIsDown() {
        AtMostOnceExecutor executor = executor();
        mAppendResult = Either.left(new LogUnavailable("503"));
        assertInstanceOf(RequestOutcome.NotRun.class, now(run(executor, DIGEST)));
        executor.apply(mAppended.get(0));
        assertTrue(mSent.isEmpty());
    }

    @Test
    void repeatThroughAnotherInstanceAsksTheClaimant() {
        AtMostOnceExecutor claimant = executor();
        AtMostOnceExecutor other =
                executor(
                        "b",
                        (holder, key, millis) ->
                                claimant.answerQuery(holder.incarnation(), key, holder.sequence()));
        run(claimant, DIGEST);
        claimant.apply(mAppended.get(0));
        mSent.get(0).complete(answer());
        CompletableFuture<RequestOutcome> concurrent = run(other, DIGEST);
        other.apply(mAppended.get(0));
        other.apply(mAppended.get(1));
        assertInstanceOf(RequestOutcome.Answered.class, now(concurrent));
        assertEquals(1, mSent.size());
        assertInstanceOf(
                RequestOutcome.Unknown.class,
                now(claimant.answerQuery(2, KEY, 1).toCompletableFuture()));
    }

    @Test
    void answerThatIsNoLongerKeptIsUnknown() {
        AtMostOnceExecutor executor = executor();
        run(executor, DIGEST);
        executor.apply(mAppended.get(0));
        mSent.get(0).complete(new RequestOutcome.Answered(HttpReply.json(200, "x".repeat(20_000))));
        assertInstanceOf(RequestOutcome.Unknown.class, now(run(executor, DIGEST)));
    }
}
