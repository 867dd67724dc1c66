package org.hornbeamward.standin.endpoint;

/**
 * One request as the endpoint saw it.
 *
 * @param id number at this endpoint, from 1
 * @param key value of Idempotency-Key, empty if absent
 * @param method HTTP method
 * @param path path and query as received
 * @param startNanos monotonic time when it was received
 * @param endNanos monotonic time when its work ended
 * @param concurrentCount requests in work, with this one, when it was received
 * @param connectionCount open connections when it was received
 * @param outcome {@code ran}, {@code failed}, {@code closed}, {@code late} or {@code refused}
 */
public record EndpointEvent(
        long id,
        String key,
        String method,
        String path,
        long startNanos,
        long endNanos,
        int concurrentCount,
        int connectionCount,
        String outcome) {

    /**
     * Tells whether the request had its effect.
     *
     * @return true if it ran
     */
    public boolean hadEffect() {
        return !outcome.equals("failed") && !outcome.equals("refused");
    }
}
