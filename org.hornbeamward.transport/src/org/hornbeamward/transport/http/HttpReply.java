package org.hornbeamward.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One response. Immutable.
 *
 * @param status HTTP status code, or 0 to close the connection without a response
 * @param headers header fields besides Content-Length
 * @param body the whole body
 * @param repeatedHeaders further header fields whose names may repeat, such as Set-Cookie
 */
public record HttpReply(
        int status,
        Map<String, String> headers,
        byte[] body,
        List<Map.Entry<String, String>> repeatedHeaders) {

    /** Copies the header fields. */
    public HttpReply {
        headers = Map.copyOf(headers);
        repeatedHeaders = List.copyOf(repeatedHeaders);
    }

    /**
     * Creates a response without repeated header fields.
     *
     * @param status HTTP status code
     * @param headers header fields besides Content-Length
     * @param body the whole body
     */
    public HttpReply(int status, Map<String, String> headers, byte[] body) {
        this(status, headers, body, List.of());
    }

    /**
     * Creates a reply that closes the connection without a response.
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
     * @param json the body
     * @return the response
     */
    public static HttpReply json(int status, String json) {
        return text(status, "application/json", json);
    }

    /**
     * Creates a response with a problem document (RFC 9457).
     *
     * @param status HTTP status code
     * @param json the body
     * @return the response
     */
    public static HttpReply problem(int status, String json) {
        return text(status, "application/problem+json", json);
    }

    /**
     * Creates a response with a text body in UTF-8.
     *
     * @param status HTTP status code
     * @param contentType media type
     * @param text the body
     * @return the response
     */
    public static HttpReply text(int status, String contentType, String text) {
        return new HttpReply(
                status, Map.of("Content-Type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Adds a header field.
     *
     * @param name field name
     * @param value field value
     * @return a copy with the field
     */
    public HttpReply withHeader(String name, String value) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put(name, value);
        return new HttpReply(status, all, body, repeatedHeaders);
    }
}
