package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.pgm.settings.JsonDocuments;

/**
 * Why a verb failed.
 *
 * @param exitCode one of {@link ExitCodes}
 * @param kind kind of the error for programs
 * @param message text for people, with the remedy
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
