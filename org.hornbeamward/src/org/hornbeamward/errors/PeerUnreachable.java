package org.hornbeamward.errors;

/**
 * A peer process that could not be reached.
 *
 * @param address host and port
 * @param detail the failure
 */
public record PeerUnreachable(String address, String detail) implements HornbeamwardError {

    @Override
    public String message() {
        return address + " is unreachable: " + detail + "; it is retried with backoff";
    }
}
