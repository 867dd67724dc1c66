package org.hornbeamward.config;

import java.util.List;

/**
 * How requests to a service are handled: entry {@code service/<name>}.
 *
 * @param agreedPeriodMillis agreed period within which the service answers
 * @param requestTimeoutMillis maximum time that a request may take; upper limit of a timeout that a
 *     caller sets
 * @param idempotentMethods HTTP methods whose requests may be retried, in upper case
 */
public record ServiceConfig(
        long agreedPeriodMillis, long requestTimeoutMillis, List<String> idempotentMethods) {}
