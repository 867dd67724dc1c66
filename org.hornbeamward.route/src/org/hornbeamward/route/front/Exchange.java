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

/** One request with its attempts. Guarded by the lock of its {@link ServiceRequestQueue}. */
final class Exchange {
    final HttpCall mCall;
    final long mDeadlineNanos;
    final boolean mIdempotent;
    final CompletableFuture<RequestOutcome> mOutcome = new CompletableFuture<>();
    final Set<EndpointId> mTriedEndpoints = new HashSet<>();
    @Nullable Timeout mDeadlineTimer;
    @Nullable HttpReply mServerError;
    int mRetryCount;
    int mRunningAttemptCount;

    /** Number of attempts that may have written a byte. */
    int mSentAttemptCount;

    Exchange(HttpCall call, long deadlineNanos, boolean idempotent) {
        mCall = call;
        mDeadlineNanos = deadlineNanos;
        mIdempotent = idempotent;
    }

    boolean isDone() {
        return mOutcome.isDone();
    }

    void complete(RequestOutcome outcome) {
        if (mDeadlineTimer != null) {
            mDeadlineTimer.cancel();
        }
        mOutcome.complete(outcome);
    }

    /**
     * Ends the request without a response: as not run if no byte can have been sent, otherwise as
     * unknown.
     */
    void refuse(String reason) {
        if (mSentAttemptCount == 0) {
            complete(new RequestOutcome.NotRun(reason));
        } else {
            complete(new RequestOutcome.Unknown(reason));
        }
    }
}
