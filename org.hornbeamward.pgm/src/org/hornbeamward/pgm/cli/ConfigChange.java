package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.StringJoiner;

/**
 * A change from the configuration in force to declared entries.
 *
 * @param baseVersion version in force
 * @param inForce entries in force
 * @param changes key to new value, or to a null node for an entry to remove
 */
record ConfigChange(long baseVersion, JsonNode inForce, ObjectNode changes) {
    /** Computes the change and checks the configuration that it leads to. */
    static Either<CliFailure, ConfigChange> compute(
            AdminClient client, Path path, boolean partial) {
        return Declarations.read(path)
                .mapLeft(CliFailure::badInput)
                .flatMap(
                        declared ->
                                client.get("/v1/config")
                                        .flatMap(config -> against(config, declared, partial)));
    }

    private static Either<CliFailure, ConfigChange> against(
            JsonNode config, Declarations declared, boolean partial) {
        JsonNode inForce = config.path("entries");
        ObjectNode changes = declared.changesAgainst(inForce, partial);
        return Declarations.validate(inForce, changes)
                .mapLeft(CliFailure::badInput)
                .map(valid -> new ConfigChange(config.path("version").asLong(), inForce, changes));
    }

    /** Returns one line for each changed entry. */
    String text() {
        if (changes.isEmpty()) {
            return "nothing to change against version " + baseVersion;
        }
        StringJoiner lines = new StringJoiner("\n");
        lines.add(changes.size() + " entries change against version " + baseVersion);
        changes.properties()
                .forEach(
                        entry -> {
                            JsonNode before = inForce.get(entry.getKey());
                            if (before != null) {
                                lines.add("- " + entry.getKey() + " = " + before);
                            }
                            if (!entry.getValue().isNull()) {
                                lines.add("+ " + entry.getKey() + " = " + entry.getValue());
                            }
                        });
        return lines.toString();
    }
}
