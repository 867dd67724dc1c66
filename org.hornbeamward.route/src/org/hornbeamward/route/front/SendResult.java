package org.hornbeamward.route.front;

import org.hornbeamward.transport.http.HttpReply;

/** Result of one attempt at one endpoint. */
public sealed interface SendResult {
    /**
     * The endpoint responded.
     *
     * @param reply the response without hop-by-hop header fields
     */
    record Answered(HttpReply reply) implements SendResult {}

    /**
     * No byte was written.
     *
     * @param reason why nothing was written
     */
    record NotSent(String reason) implements SendResult {}

    /**
     * The connection failed or was closed after bytes may have been written.
     *
     * @param reason what happened
     * @param processingEnded whether the endpoint had already started to respond
     */
    record Broken(String reason, boolean processingEnded) implements SendResult {}
}
