package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.pgm.settings.JsonDocuments;

/**
 * The failure of a verb.
 *
 * @param exitCode one of {@link ExitCodes}
 * @param kind machine-readable kind of the error
 * @param message human-readable message with the remedy
 */
record CliFailure(int exitCode, String kind, String message) {
    static CliFailure badInput(HornbeamwardError error) {
        return new CliFailure(ExitCodes.BAD_INPUT, error.kind(), error.message());
    }

    static CliFailure badInput(String message) {
        return new CliFailure(ExitCodes.BAD_INPUT, "InvalidInput", message);
    }

    ObjectNode toJson() {
        return JsonDocuments.object()
                .put("exitCode", exitCode)
                .put("kind", kind)
                .put("message", message);
    }
}
