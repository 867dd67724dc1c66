package org.hornbeamward.route.front;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.transport.http.HttpReply;

/** Removes header fields that must not be forwarded. Source: RFC 9110, section 7.6.1. */
final class HeaderFilter {
    static final String TIMEOUT = "X-Request-Timeout-Millis";
    static final String OUTCOME = "X-Hornbeamward-Outcome";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    // Set by each side for its own connection.
                    "content-length",
                    "expect",
                    "host",
                    // Only the front may set these.
                    TIMEOUT.toLowerCase(Locale.ROOT),
                    OUTCOME.toLowerCase(Locale.ROOT));

    private HeaderFilter() {}

    static HttpHeaders toEndpoint(HttpHeaders received) {
        HttpHeaders forwarded = new DefaultHttpHeaders();
        Set<String> connectionOptions = connectionOptionsOf(received);
        for (Map.Entry<String, String> field : received) {
            if (isForwarded(field.getKey(), connectionOptions)) {
                forwarded.add(field.getKey(), field.getValue());
            }
        }
        return forwarded;
    }

    static HttpReply toCaller(int status, HttpHeaders received, byte[] body) {
        List<Map.Entry<String, String>> forwarded = new ArrayList<>();
        Set<String> connectionOptions = connectionOptionsOf(received);
        for (Map.Entry<String, String> field : received) {
            if (isForwarded(field.getKey(), connectionOptions)) {
                forwarded.add(Map.entry(field.getKey(), field.getValue()));
            }
        }
        return new HttpReply(status, Map.of(), body, forwarded);
    }

    private static boolean isForwarded(String name, Set<String> connectionOptions) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !NOT_FORWARDED.contains(lower) && !connectionOptions.contains(lower);
    }

    private static Set<String> connectionOptionsOf(HttpHeaders headers) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",", -1)) {
                connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return connectionOptions;
    }
}
