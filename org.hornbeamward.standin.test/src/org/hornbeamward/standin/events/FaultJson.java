package org.hornbeamward.standin.events;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import org.hornbeamward.transport.http.HttpReply;

/** Reads and writes faults as JSON. A request changes only the fields that it contains. */
public final class FaultJson {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private FaultJson() {}

    /**
     * Merges a request body into the active faults.
     *
     * @param current the active faults
     * @param body a JSON object with the fields to change
     * @param type class of the faults
     * @param <T> type of the faults
     * @return the changed faults, or a response with status 400
     */
    public static <T> Either<HttpReply, T> merge(T current, byte[] body, Class<T> type) {
        try {
            JsonNode document = JSON.readTree(body);
            if (!(document instanceof ObjectNode fields)) {
                return Either.left(badRequest("expected a JSON object"));
            }
            ObjectNode merged = JSON.valueToTree(current);
            merged.setAll(fields);
            return Either.right(JSON.treeToValue(merged, type));
        } catch (JsonProcessingException e) {
            return Either.left(badRequest(e.getOriginalMessage()));
        } catch (IOException e) {
            return Either.left(badRequest("unreadable body"));
        }
    }

    /**
     * Writes faults to a response.
     *
     * @param faults the faults
     * @return a response with the faults as JSON
     */
    public static HttpReply toReply(Object faults) {
        return HttpReply.json(200, JSON.valueToTree(faults).toString());
    }

    /**
     * Creates the response to an invalid request.
     *
     * @param message error in the request
     * @return a response with status 400
     */
    public static HttpReply badRequest(String message) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("kind", "InvalidSetting");
        problem.put("message", message);
        return HttpReply.problem(400, problem.toString());
    }
}
