package org.hornbeamward.errors;

/**
 * A log record or frame that cannot be decoded.
 *
 * @param place stream and offset, or the peer's address
 * @param detail what was expected and what was found
 */
public record MalformedRecord(String place, String detail) implements HornbeamwardError {

    @Override
    public String message() {
        return "record at "
                + place
                + " is malformed: "
                + detail
                + "; check the version of its writer";
    }
}
