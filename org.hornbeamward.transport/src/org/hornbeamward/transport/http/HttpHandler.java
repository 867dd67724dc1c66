package org.hornbeamward.transport.http;

import java.util.concurrent.CompletionStage;

/** Answers requests. Called on an event loop thread; it must not block. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Answers one request.
     *
     * @param call the request with its whole body
     * @return the response; a failed stage becomes status 500
     */
    CompletionStage<HttpReply> handle(HttpCall call);
}
