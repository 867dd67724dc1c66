package org.hornbeamward.standin.log;

import java.util.concurrent.CompletableFuture;
import org.hornbeamward.transport.http.HttpReply;

/** Pending long-poll read that waits for a record. */
record ReadWaiter(
        String stream, long fromOffset, long maxBytes, CompletableFuture<HttpReply> reply) {}
