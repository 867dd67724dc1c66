package org.hornbeamward.config;

import java.util.List;

/**
 * How requests of one service are handled: entry {@code service/<name>}.
 *
 * @param agreedPeriodMillis period within which the service answers
 * @param requestTimeoutMillis longest time a request may take, the cap of a caller's timeout
 * @param idempotentMethods HTTP methods that may be repeated, in upper case
 */
public record ServiceConfig(
        long agreedPeriodMillis, long requestTimeoutMillis, List<String> idempotentMethods) {}
