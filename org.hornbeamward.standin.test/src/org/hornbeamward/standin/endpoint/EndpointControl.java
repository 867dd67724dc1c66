package org.hornbeamward.standin.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpHandler;
import org.hornbeamward.transport.http.HttpReply;

/**
 * HTTP control interface of the stand-in endpoints of a process. {@code GET /events} returns an
 * object that maps each endpoint to its events. {@code POST /faults} takes an object with the
 * fields of {@link EndpointFaults} and optionally {@code endpoint}; without it the faults apply to
 * all endpoints.
 */
final class EndpointControl implements HttpHandler {
    private final List<StandinEndpoint> mEndpoints;
    private final ObjectMapper mMapper = new ObjectMapper();

    EndpointControl(List<StandinEndpoint> endpoints) {
        mEndpoints = List.copyOf(endpoints);
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        return CompletableFuture.completedFuture(answer(call));
    }

    private HttpReply answer(HttpCall call) {
        try {
            return switch (call.method() + " " + call.path()) {
                case "GET /events" -> events();
                case "POST /faults" -> applyFaults(call.body());
                default -> HttpReply.text(404, "text/plain", "GET /events or POST /faults\n");
            };
        } catch (IOException e) {
            return HttpReply.text(400, "text/plain", e.getMessage() + "\n");
        }
    }

    private HttpReply events() throws JsonProcessingException {
        ObjectNode all = mMapper.createObjectNode();
        for (StandinEndpoint endpoint : mEndpoints) {
            all.set(endpoint.name(), mMapper.valueToTree(endpoint.events()));
        }
        return HttpReply.json(200, mMapper.writeValueAsString(all));
    }

    private HttpReply applyFaults(byte[] body) throws IOException {
        JsonNode node = mMapper.readTree(body);
        EndpointFaults faults = mMapper.treeToValue(node, EndpointFaults.class);
        String name = node.path("endpoint").asText("");
        List<StandinEndpoint> targets =
                mEndpoints.stream()
                        .filter(endpoint -> name.isEmpty() || endpoint.name().equals(name))
                        .toList();
        if (targets.isEmpty()) {
            return HttpReply.text(404, "text/plain", "no endpoint " + name + "\n");
        }
        targets.forEach(endpoint -> endpoint.setFaults(faults));
        return HttpReply.json(200, "{}");
    }
}
