package org.hornbeamward.route.claim;

import java.util.concurrent.CompletionStage;

/** Asks another instance for the outcome of a request that it claimed. */
@FunctionalInterface
public interface ClaimantQuery {
    /**
     * Asks the claimant, which answers by {@link AtMostOnceExecutor#answerQuery}.
     *
     * @param holder the claimant and the sequence number of its claim
     * @param key the claimed key
     * @param remainingMillis maximum time to wait for a request in progress
     * @return the outcome; {@link RequestOutcome.Unknown} if the claimant cannot be reached or does
     *     not answer in time
     */
    CompletionStage<RequestOutcome> ask(ClaimHolder holder, ClaimKey key, long remainingMillis);
}
