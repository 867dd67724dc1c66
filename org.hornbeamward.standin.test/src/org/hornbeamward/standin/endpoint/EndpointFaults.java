package org.hornbeamward.standin.endpoint;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Faults of an endpoint, set by {@code POST /faults} with a JSON object of these fields; fields
 * that are left out become 0 or false.
 *
 * @param slowMillis time added to each service time
 * @param failFraction fraction of requests that get status 500 and have no effect
 * @param lateFraction fraction of requests whose response is delayed after they took effect
 * @param lateMillis delay of these responses
 * @param closeFraction fraction of requests whose connection is closed after they took effect
 * @param paused whether requests wait until the pause ends
 */
@JsonIgnoreProperties("endpoint")
public record EndpointFaults(
        long slowMillis,
        double failFraction,
        double lateFraction,
        long lateMillis,
        double closeFraction,
        boolean paused) {
    /** No faults. */
    public static final EndpointFaults NONE = new EndpointFaults(0, 0, 0, 0, 0, false);
}
