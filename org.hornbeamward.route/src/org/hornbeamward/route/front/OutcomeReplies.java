package org.hornbeamward.route.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.RequestNotRun;
import org.hornbeamward.errors.RequestOutcomeUnknown;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.transport.http.HttpReply;

/** Converts request outcomes to HTTP replies. Refusals are problem documents (RFC 9457). */
final class OutcomeReplies {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int UNPROCESSABLE_CONTENT = 422;

    private OutcomeReplies() {}

    static HttpReply reply(RequestOutcome outcome) {
        return switch (outcome) {
            case RequestOutcome.Answered answered -> answered.reply();
            case RequestOutcome.NotRun notRun -> notRun(SERVICE_UNAVAILABLE, notRun.reason());
            case RequestOutcome.Unknown unknown -> unknown(unknown.reason());
            case RequestOutcome.KeyReused reused ->
                    notRun(
                            UNPROCESSABLE_CONTENT,
                            "its Idempotency-Key belongs to a request with another method, path or"
                                    + " body; use a new key");
        };
    }

    static HttpReply notRun(int status, String reason) {
        return problem(status, new RequestNotRun(reason), "not-run");
    }

    private static HttpReply unknown(String reason) {
        return problem(GATEWAY_TIMEOUT, new RequestOutcomeUnknown(reason), "unknown");
    }

    private static HttpReply problem(int status, HornbeamwardError error, String outcome) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("status", status);
        body.put("kind", error.kind());
        body.put("message", error.message());
        try {
            return HttpReply.problem(status, MAPPER.writeValueAsString(body))
                    .withHeader(HeaderFilter.OUTCOME, outcome);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialize a problem document", e);
        }
    }
}
