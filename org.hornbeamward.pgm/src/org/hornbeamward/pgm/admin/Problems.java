package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;
import org.hornbeamward.errors.MalformedId;
import org.hornbeamward.errors.MalformedRecord;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.errors.RequestOutcomeUnknown;
import org.hornbeamward.errors.VersionConflict;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.transport.http.HttpReply;

/** Error replies of the admin API, as problem documents. */
final class Problems {
    private Problems() {}

    static HttpReply reply(int status, String kind, String message) {
        return HttpReply.problem(status, JsonDocuments.compact(document(status, kind, message)));
    }

    static HttpReply reply(HornbeamwardError error) {
        int status = statusOf(error);
        ObjectNode node = document(status, error.kind(), error.message());
        if (error instanceof VersionConflict conflict) {
            node.put("currentVersion", conflict.currentVersion());
        }
        if (error instanceof InvalidSettings settings) {
            ArrayNode problems = node.putArray("problems");
            for (InvalidSetting problem : settings.problems()) {
                problems.addObject().put("key", problem.key()).put("detail", problem.detail());
            }
        }
        return HttpReply.problem(status, JsonDocuments.compact(node));
    }

    /**
     * Returns the HTTP status of an error. Invalid input is 400, a command rejected by a rule 422,
     * and a request that may succeed later without change 503.
     */
    private static int statusOf(HornbeamwardError error) {
        if (error instanceof VersionConflict) {
            return 409;
        }
        if (error instanceof CommandRejected) {
            return 422;
        }
        if (error instanceof RequestOutcomeUnknown) {
            return 504;
        }
        if (error instanceof OversizedInput) {
            return 413;
        }
        boolean invalidInput =
                error instanceof InvalidSetting
                        || error instanceof InvalidSettings
                        || error instanceof MalformedId
                        || error instanceof MalformedRecord;
        return invalidInput ? 400 : 503;
    }

    private static ObjectNode document(int status, String kind, String message) {
        return JsonDocuments.object()
                .put("status", status)
                .put("kind", kind)
                .put("message", message);
    }
}
