package org.hornbeamward.standin.endpoint;

/**
 * Request recorded by an endpoint.
 *
 * @param id number of the request at this endpoint, starting at 1
 * @param key value of the Idempotency-Key header, empty if absent
 * @param method HTTP method
 * @param path path and query as received
 * @param startNanos monotonic time when the request was received
 * @param endNanos monotonic time when its processing ended
 * @param concurrentCount running requests, including this one, when it was received
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
     * Returns whether the request took effect.
     *
     * @return false if it failed or was refused
     */
    public boolean hadEffect() {
        return !outcome.equals("failed") && !outcome.equals("refused");
    }
}
