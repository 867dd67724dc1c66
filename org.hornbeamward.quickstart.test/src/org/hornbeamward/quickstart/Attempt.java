package org.hornbeamward.quickstart;

/**
 * One request that a caller sent and what became of it.
 *
 * @param id unique id of the request; repeats have the same
 * @param entry instance that it was sent to
 * @param idempotent whether it may be repeated freely
 * @param sentNanos monotonic time
 * @param endedNanos monotonic time
 * @param status HTTP status, 0 if the connection failed
 * @param outcome value of X-Hornbeamward-Outcome, empty if absent
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
