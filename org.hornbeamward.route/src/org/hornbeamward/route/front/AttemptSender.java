package org.hornbeamward.route.front;

import java.util.concurrent.CompletionStage;
import org.hornbeamward.transport.http.HttpCall;

/** Sends single attempts of requests to endpoints. */
@FunctionalInterface
public interface AttemptSender {
    /**
     * Sends one attempt.
     *
     * @param address host:port of the endpoint
     * @param call the caller's request
     * @param remainingMillis remaining time, which is passed on to the endpoint
     * @param maxAttemptMillis time after which the attempt is ended by closing its connection
     * @return the result; the stage never completes exceptionally
     */
    CompletionStage<SendResult> send(
            String address, HttpCall call, long remainingMillis, long maxAttemptMillis);
}
