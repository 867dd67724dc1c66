package org.hornbeamward.errors;

/**
 * A request that may have reached an endpoint but got no response.
 *
 * @param reason what happened
 */
public record RequestOutcomeUnknown(String reason) implements HornbeamwardError {

    @Override
    public String message() {
        return "outcome of the request is unknown: "
                + reason
                + "; repeat it only with the same Idempotency-Key";
    }
}
