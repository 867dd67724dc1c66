package org.hornbeamward.quickstart;

/**
 * Request that a caller sent, and its result.
 *
 * @param id unique id of the request; repetitions have the same id
 * @param entry entry instance that it was sent to
 * @param idempotent whether its method is idempotent
 * @param sentNanos monotonic time when it was sent
 * @param endedNanos monotonic time when the response or a failure arrived
 * @param status HTTP status, 0 if the connection failed
 * @param outcome value of the X-Hornbeamward-Outcome header, empty if absent
 * @param body response body, empty if none
 */
record Attempt(
        String id,
        String entry,
        boolean idempotent,
        long sentNanos,
        long endedNanos,
        int status,
        String outcome,
        String body) {

    boolean answered() {
        return status > 0 && outcome.isEmpty();
    }

    boolean notRun() {
        return outcome.equals("not-run");
    }
}
