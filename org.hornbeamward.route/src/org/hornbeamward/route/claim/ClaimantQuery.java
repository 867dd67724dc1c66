package org.hornbeamward.route.claim;

import java.util.concurrent.CompletionStage;

/** Asks another instance what became of a request that it claimed. */
@FunctionalInterface
public interface ClaimantQuery {
    /**
     * Asks the claimant, which answers from {@link ClaimDesk#answerQuery}.
     *
     * @param holder the claimant and the number of its claim
     * @param key the key
     * @param remainingMillis time to wait for a request in progress
     * @return the outcome; {@link RequestOutcome.Unknown} if the claimant is gone or does not
     *     answer in time
     */
    CompletionStage<RequestOutcome> ask(ClaimHolder holder, ClaimKey key, long remainingMillis);
}
