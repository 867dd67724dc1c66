package org.hornbeamward.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A received HTTP request with its complete body. Not modified after it is received.
 *
 * @param method HTTP method in upper case
 * @param path percent-decoded path without the query
 * @param rawUri request target as received
 * @param query percent-decoded query parameters
 * @param headers header fields
 * @param body the request body, empty if there is none
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
     * @param name name of the parameter
     * @return the decoded value, or empty if the parameter is absent
     */
    public Optional<String> parameter(String name) {
        return query.getOrDefault(name, List.of()).stream().findFirst();
    }
}
