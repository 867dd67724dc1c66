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

/** Which header fields pass the front. Source: RFC 9110, section 7.6.1. */
final class HeaderRules {
    static final String TIMEOUT = "X-Request-Timeout-Millis";
    static final String OUTCOME = "X-Hornbeamward-Outcome";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final Set<String> HOP_BY_HOP =
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
                    // Set anew by each side.
                    "content-length",
                    "expect",
                    "host",
                    // Only the front may state these.
                    TIMEOUT.toLowerCase(Locale.ROOT),
                    OUTCOME.toLowerCase(Locale.ROOT));

    private HeaderRules() {}

    static HttpHeaders toEndpoint(HttpHeaders received) {
        HttpHeaders passed = new DefaultHttpHeaders();
        Set<String> named = namedByConnection(received);
        for (Map.Entry<String, String> field : received) {
            if (passes(field.getKey(), named)) {
                passed.add(field.getKey(), field.getValue());
            }
        }
        return passed;
    }

    static HttpReply toCaller(int status, HttpHeaders received, byte[] body) {
        List<Map.Entry<String, String>> passed = new ArrayList<>();
        Set<String> named = namedByConnection(received);
        for (Map.Entry<String, String> field : received) {
            if (passes(field.getKey(), named)) {
                passed.add(Map.entry(field.getKey(), field.getValue()));
            }
        }
        return new HttpReply(status, Map.of(), body, passed);
    }

    private static boolean passes(String name, Set<String> named) {
        String lower = name.toLowerCase(Locale.ROOT);
        return !HOP_BY_HOP.contains(lower) && !named.contains(lower);
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",", -1)) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
