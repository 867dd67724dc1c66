package org.hornbeamward.transport.message;

import java.util.Map;

/**
 * Answers an {@link AnswerQuery}.
 *
 * @param requestId id of the query
 * @param found true if the response is known
 * @param status HTTP status code, 0 if not found
 * @param headers header fields of the response
 * @param body body of the response
 */
public record AnswerReply(
        long requestId, boolean found, int status, Map<String, String> headers, byte[] body)
        implements PeerMessage {
    /** Copies the header fields. */
    public AnswerReply {
        headers = Map.copyOf(headers);
    }
}
