package org.hornbeamward.route.front;

import org.hornbeamward.route.claim.RequestOutcome;

/** Learns what became of each request, for metrics and figures. Called on any thread. */
@FunctionalInterface
public interface RequestListener {
    /**
     * Called when a request is answered or refused.
     *
     * @param service name of the service
     * @param outcome what became of it
     * @param durationNanos time since it was received whole
     */
    void completed(String service, RequestOutcome outcome, long durationNanos);
}
