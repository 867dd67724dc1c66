package org.hornbeamward.transport.http;

import java.util.concurrent.CompletionStage;

/** Handles HTTP requests. It is called on an event loop thread and must not block. */
@FunctionalInterface
public interface HttpHandler {
    /**
     * Handles one request.
     *
     * @param call the request with its complete body
     * @return the response; a stage that completes exceptionally is answered with status 500
     */
    CompletionStage<HttpReply> handle(HttpCall call);
}
