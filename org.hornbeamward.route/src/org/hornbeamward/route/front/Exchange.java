package org.hornbeamward.route.front;

import io.netty.util.Timeout;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.jspecify.annotations.Nullable;

/** One request with its attempts. Guarded by the lock of its lane. */
final class Exchange {
    final HttpCall mCall;
    final long mDeadlineNanos;
    final boolean mIdempotent;
    final CompletableFuture<RequestOutcome> mOutcome = new CompletableFuture<>();
    final Set<EndpointId> mTried = new HashSet<>();
    @Nullable Timeout mTimer;
    @Nullable HttpReply mServerError;
    int mRetryCount;
    int mRunningCount;

    /** Attempts that may have written a byte. */
    int mSentCount;

    Exchange(HttpCall call, long deadlineNanos, boolean idempotent) {
        mCall = call;
        mDeadlineNanos = deadlineNanos;
        mIdempotent = idempotent;
    }

    boolean isDone() {
        return mOutcome.isDone();
    }

    void complete(RequestOutcome outcome) {
        if (mTimer != null) {
            mTimer.cancel();
        }
        mOutcome.complete(outcome);
    }

    /** Ends the request without an answer; what it states depends on whether a byte was sent. */
    void refuse(String reason) {
        if (mSentCount == 0) {
            complete(new RequestOutcome.NotRun(reason));
        } else {
            complete(new RequestOutcome.Unknown(reason));
        }
    }
}
