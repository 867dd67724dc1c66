package org.hornbeamward.errors;

/**
 * A request that was not run: no byte of it reached an endpoint.
 *
 * @param reason why it was refused
 */
public record RequestNotRun(String reason) implements HornbeamwardError {

    @Override
    public String message() {
        return "request was not run: " + reason + "; it is safe to repeat";
    }
}
