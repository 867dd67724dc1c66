package org.hornbeamward.errors;

/**
 * The platform's log could not be written or read.
 *
 * @param detail the operation and its failure
 */
public record LogUnavailable(String detail) implements HornbeamwardError {

    @Override
    public String message() {
        return "log is unavailable: "
                + detail
                + "; it is retried, check the platform's log service";
    }
}
