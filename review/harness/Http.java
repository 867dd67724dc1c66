import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Helpers of the stand-ins for HTTP and JSON. */
final class Http {
    static final ObjectMapper JSON = new ObjectMapper();

    interface Handler {
        void handle(HttpExchange call) throws IOException;
    }

    private Http() {}

    static HttpServer listen(String host, int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 512);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        return server;
    }

    /** Runs a handler; a call that fails gets no answer. */
    static void guard(HttpExchange call, Handler handler) {
        try {
            handler.handle(call);
        } catch (IOException | RuntimeException e) {
            call.close();
        }
    }

    static Map<String, String> query(HttpExchange call) {
        Map<String, String> query = new HashMap<>();
        String raw = call.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static JsonNode body(HttpExchange call) throws IOException {
        return JSON.readTree(call.getRequestBody().readAllBytes());
    }

    static void reply(HttpExchange call, int status, ObjectNode body) throws IOException {
        reply(call, status, "application/json", JSON.writeValueAsBytes(body));
    }

    static void reply(HttpExchange call, int status, String type, byte[] body) throws IOException {
        call.getResponseHeaders().set("Content-Type", type);
        call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            call.getResponseBody().write(body);
        }
        call.close();
    }
}
