package org.hornbeamward.route.front;

import org.hornbeamward.route.claim.RequestOutcome;

/** Is notified of the outcome of each request, for metrics and figures. Called on any thread. */
@FunctionalInterface
public interface RequestListener {
    /**
     * Called when a request is answered or refused.
     *
     * @param service name of the service
     * @param outcome outcome of the request
     * @param durationNanos time since the request was received completely
     */
    void completed(String service, RequestOutcome outcome, long durationNanos);
}
