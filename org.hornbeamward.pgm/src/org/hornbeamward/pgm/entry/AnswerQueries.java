package org.hornbeamward.pgm.entry;

import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.route.claim.AtMostOnceExecutor;
import org.hornbeamward.route.claim.ClaimHolder;
import org.hornbeamward.route.claim.ClaimKey;
import org.hornbeamward.route.claim.ClaimantQuery;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.link.Link;
import org.hornbeamward.transport.message.AnswerQuery;
import org.hornbeamward.transport.message.AnswerReply;

/**
 * Queries other members for the outcome of requests that they claimed, and answers such queries.
 */
final class AnswerQueries implements ClaimantQuery {
    private final ControlRing mRing;
    private final MonotonicClock mClock;
    private final AtomicLong mNextId = new AtomicLong(1);
    private final Map<Long, PendingQuery> mPendingQueries = new ConcurrentHashMap<>();

    private record PendingQuery(CompletableFuture<RequestOutcome> outcome, long deadlineNanos) {}

    AnswerQueries(ControlRing ring, MonotonicClock clock) {
        mRing = ring;
        mClock = clock;
    }

    @Override
    public CompletionStage<RequestOutcome> ask(
            ClaimHolder holder, ClaimKey key, long remainingMillis) {
        long id = mNextId.getAndIncrement();
        long deadlineNanos = mClock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
        CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();
        mPendingQueries.put(id, new PendingQuery(outcome, deadlineNanos));
        AnswerQuery query =
                new AnswerQuery(
                        id,
                        holder.incarnation(),
                        holder.sequence(),
                        remainingMillis,
                        key.high(),
                        key.low());
        boolean queued =
                mRing.offer(
                                new ControlEvent.RunAction(
                                        control -> {
                                            if (!control.sendToPeer(holder.instance(), query)) {
                                                completeUnknown(
                                                        id, "the claimant cannot be reached");
                                            }
                                        }))
                        .isRight();
        if (!queued) {
            completeUnknown(id, "too much is waiting in this instance");
        }
        return outcome;
    }

    private void completeUnknown(long id, String reason) {
        PendingQuery pending = mPendingQueries.remove(id);
        if (pending != null) {
            pending.outcome().complete(new RequestOutcome.Unknown(reason));
        }
    }

    void onReply(AnswerReply reply) {
        PendingQuery pending = mPendingQueries.remove(reply.requestId());
        if (pending == null) {
            return;
        }
        pending.outcome()
                .complete(
                        reply.found()
                                ? new RequestOutcome.Answered(
                                        new HttpReply(
                                                reply.status(), reply.headers(), reply.body()))
                                : new RequestOutcome.Unknown("the claimant has no answer"));
    }

    /** Answers another member's query on the link that it arrived on. */
    static void answer(AtMostOnceExecutor executor, AnswerQuery query, Link link) {
        executor.answerQuery(
                        query.incarnation(),
                        new ClaimKey(query.keyHashHigh(), query.keyHashLow()),
                        query.sequence())
                .whenComplete(
                        (outcome, failure) -> {
                            AnswerReply reply =
                                    outcome instanceof RequestOutcome.Answered answered
                                            ? new AnswerReply(
                                                    query.requestId(),
                                                    true,
                                                    answered.reply().status(),
                                                    answered.reply().headers(),
                                                    answered.reply().body())
                                            : notFound(query);
                            if (link.send(reply).isLeft()) {
                                link.send(notFound(query));
                            }
                        });
    }

    private static AnswerReply notFound(AnswerQuery query) {
        return new AnswerReply(query.requestId(), false, 0, Map.of(), new byte[0]);
    }

    void expire() {
        long nowNanos = mClock.nowNanos();
        Iterator<Map.Entry<Long, PendingQuery>> queries = mPendingQueries.entrySet().iterator();
        while (queries.hasNext()) {
            Map.Entry<Long, PendingQuery> entry = queries.next();
            if (nowNanos - entry.getValue().deadlineNanos() >= 0) {
                completeUnknown(entry.getKey(), "the claimant did not answer in time");
            }
        }
    }
}
