package org.hornbeamward.standin.events;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import org.hornbeamward.transport.http.HttpReply;

/** Faults as JSON: a request changes the fields it names and leaves the others. */
public final class FaultJson {
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private FaultJson() {}

    /**
     * Merges a request body into the faults in force.
     *
     * @param current the faults in force
     * @param body a JSON object with the fields to change
     * @param type class of the faults
     * @param <T> class of the faults
     * @return the changed faults, or a response with status 400
     */
    public static <T> Either<HttpReply, T> merge(T current, byte[] body, Class<T> type) {
        try {
            JsonNode change = JSON.readTree(body);
            if (!(change instanceof ObjectNode fields)) {
                return Either.left(refusal("expected a JSON object"));
            }
            ObjectNode merged = JSON.valueToTree(current);
            merged.setAll(fields);
            return Either.right(JSON.treeToValue(merged, type));
        } catch (JsonProcessingException e) {
            return Either.left(refusal(e.getOriginalMessage()));
        } catch (IOException e) {
            return Either.left(refusal("unreadable body"));
        }
    }

    /**
     * Shows faults.
     *
     * @param faults the faults
     * @return a response with them as JSON
     */
    public static HttpReply show(Object faults) {
        return HttpReply.json(200, JSON.valueToTree(faults).toString());
    }

    /**
     * Refuses a request.
     *
     * @param message what is wrong with it
     * @return a response with status 400
     */
    public static HttpReply refusal(String message) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("kind", "InvalidSetting");
        problem.put("message", message);
        return HttpReply.problem(400, problem.toString());
    }
}
