package org.hornbeamward.transport.message;

/** Bytes that are no message; turned into a typed error by {@link MessageCodec}. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    MalformedMessageException(String message) {
        super(message);
    }
}
