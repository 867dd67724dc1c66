package org.hornbeamward.standin.endpoint;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * What an endpoint does wrong, as posted to {@code /faults}. Absent fields are 0 or false.
 *
 * @param slowMillis added to each service time
 * @param failFraction share of requests answered with 500 without an effect
 * @param lateFraction share of requests answered late, after the effect
 * @param lateMillis how late
 * @param closeFraction share of requests whose connection is closed after the effect
 * @param paused whether requests wait
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
