package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.StringJoiner;

/**
 * The difference between the configuration in force and the declared entries.
 *
 * @param baseVersion version in force
 * @param inForce entries in force
 * @param changes new value of each changed key; a null node for an entry to remove
 */
record ConfigChange(long baseVersion, JsonNode inForce, ObjectNode changes) {
    /** Computes the change and validates the resulting configuration. */
    static Either<CliFailure, ConfigChange> compute(
            AdminClient client, Path path, boolean partial) {
        return Declarations.read(path)
                .mapLeft(CliFailure::badInput)
                .flatMap(
                        declared ->
                                client.get("/v1/config")
                                        .flatMap(config -> diff(config, declared, partial)));
    }

    private static Either<CliFailure, ConfigChange> diff(
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
