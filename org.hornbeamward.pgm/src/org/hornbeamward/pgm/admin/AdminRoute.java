package org.hornbeamward.pgm.admin;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;

/**
 * One route of the admin API.
 *
 * @param method HTTP method
 * @param prefix path up to the id, or the whole path if there is none
 * @param suffix path after the id
 * @param hasId true if the path has an id between prefix and suffix
 * @param operation handles the request
 */
record AdminRoute(String method, String prefix, String suffix, boolean hasId, Operation operation) {
    /** Handles the requests of one route. */
    interface Operation {
        /** Handles one request; the id is empty if the path has none. */
        CompletionStage<HttpReply> handle(HttpCall call, String id);
    }

    static AdminRoute fixed(String method, String path, Operation operation) {
        return new AdminRoute(method, path, "", false, operation);
    }

    static AdminRoute withId(String method, String prefix, String suffix, Operation operation) {
        return new AdminRoute(method, prefix, suffix, true, operation);
    }

    /**
     * Returns the id in a matching path, or an empty id if the route has none. The result is empty
     * if the path does not match.
     */
    Optional<String> match(String path) {
        if (!hasId) {
            return path.equals(prefix) ? Optional.of("") : Optional.empty();
        }
        boolean longEnough = path.length() > prefix.length() + suffix.length();
        if (!longEnough || !path.startsWith(prefix) || !path.endsWith(suffix)) {
            return Optional.empty();
        }
        String id = path.substring(prefix.length(), path.length() - suffix.length());
        return id.indexOf('/') < 0 ? Optional.of(id) : Optional.empty();
    }
}
