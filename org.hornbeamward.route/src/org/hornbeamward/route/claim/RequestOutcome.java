package org.hornbeamward.route.claim;

import org.hornbeamward.transport.http.HttpReply;

/** What became of a request. Immutable. */
public sealed interface RequestOutcome {
    /**
     * An endpoint answered.
     *
     * @param reply the answer
     */
    record Answered(HttpReply reply) implements RequestOutcome {}

    /**
     * No byte of the request reached an endpoint, and none will.
     *
     * @param reason why
     */
    record NotRun(String reason) implements RequestOutcome {}

    /**
     * The request may have run.
     *
     * @param reason what happened
     */
    record Unknown(String reason) implements RequestOutcome {}

    /** The key belongs to another request; this one was not run. */
    record KeyReused() implements RequestOutcome {}
}
