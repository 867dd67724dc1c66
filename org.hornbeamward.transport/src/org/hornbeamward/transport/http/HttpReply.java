package org.hornbeamward.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An HTTP response. Immutable.
 *
 * @param status HTTP status code, or 0 to close the connection without a response
 * @param headers header fields other than Content-Length
 * @param body the response body
 * @param repeatedHeaders additional header fields whose names may occur more than once, such as
 *     Set-Cookie
 */
public record HttpReply(
        int status,
        Map<String, String> headers,
        byte[] body,
        List<Map.Entry<String, String>> repeatedHeaders) {

    /** Copies the collections of header fields. */
    public HttpReply {
        headers = Map.copyOf(headers);
        repeatedHeaders = List.copyOf(repeatedHeaders);
    }

    /**
     * Creates a response without repeated header fields.
     *
     * @param status HTTP status code
     * @param headers header fields other than Content-Length
     * @param body the response body
     */
    public HttpReply(int status, Map<String, String> headers, byte[] body) {
        this(status, headers, body, List.of());
    }

    /**
     * Creates a reply that makes the server close the connection without a response.
     *
     * @return the reply
     */
    public static HttpReply closeConnection() {
        return new HttpReply(0, Map.of(), new byte[0]);
    }

    /**
     * Creates a response with a JSON body.
     *
     * @param status HTTP status code
     * @param json the JSON document
     * @return the response
     */
    public static HttpReply json(int status, String json) {
        return text(status, "application/json", json);
    }

    /**
     * Creates a response with a problem document (RFC 9457).
     *
     * @param status HTTP status code
     * @param json the JSON document
     * @return the response
     */
    public static HttpReply problem(int status, String json) {
        return text(status, "application/problem+json", json);
    }

    /**
     * Creates a response with a text body, encoded in UTF-8.
     *
     * @param status HTTP status code
     * @param contentType media type
     * @param text the response body
     * @return the response
     */
    public static HttpReply text(int status, String contentType, String text) {
        return new HttpReply(
                status, Map.of("Content-Type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a copy of this response with a header field set.
     *
     * @param name field name
     * @param value field value
     * @return the copy
     */
    public HttpReply withHeader(String name, String value) {
        Map<String, String> newHeaders = new LinkedHashMap<>(headers);
        newHeaders.put(name, value);
        return new HttpReply(status, newHeaders, body, repeatedHeaders);
    }
}
