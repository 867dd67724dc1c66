package org.hornbeamward.transport.message;

/** Thrown for bytes that are not a valid message. {@link MessageCodec} converts it to an error. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }
}
