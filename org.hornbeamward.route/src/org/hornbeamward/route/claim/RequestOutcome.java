package org.hornbeamward.route.claim;

import org.hornbeamward.transport.http.HttpReply;

/** Outcome of a request. Immutable. */
public sealed interface RequestOutcome {
    /**
     * An endpoint responded.
     *
     * @param reply the endpoint's response
     */
    record Answered(HttpReply reply) implements RequestOutcome {}

    /**
     * No byte of the request reached an endpoint, and none will.
     *
     * @param reason why the request was not run
     */
    record NotRun(String reason) implements RequestOutcome {}

    /**
     * The request may have run.
     *
     * @param reason why the outcome is not known
     */
    record Unknown(String reason) implements RequestOutcome {}

    /** The key was used for a different request; this request was not run. */
    record KeyReused() implements RequestOutcome {}
}
