package org.hornbeamward.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request. Immutable once received.
 *
 * @param method HTTP method in upper case
 * @param path decoded path without the query
 * @param rawUri request target as received
 * @param query decoded query parameters
 * @param headers header fields
 * @param body the whole body, empty if there is none
 */
public record HttpCall(
        String method,
        String path,
        String rawUri,
        Map<String, List<String>> query,
        HttpHeaders headers,
        byte[] body) {

    /**
     * Returns the first value of a query parameter.
     *
     * @param name its name
     * @return the decoded value, or empty if it is absent
     */
    public Optional<String> parameter(String name) {
        return query.getOrDefault(name, List.of()).stream().findFirst();
    }
}
