package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows the configuration in force. */
@Command(name = "show", description = "Shows the configuration in force, whole or one entry.")
final class ConfigShowVerb extends Verb {
    @Parameters(
            arity = "0..1",
            paramLabel = "KEY",
            description = "key of one entry, such as team/nurses")
    private @Nullable String mKey;

    @Override
    Either<CliFailure, Result> run() {
        String key = mKey;
        if (key == null) {
            return view("/v1/config", ConfigShowVerb::text);
        }
        return withClient(client -> client.get("/v1/config"))
                .flatMap(
                        config -> {
                            JsonNode entry = config.path("entries").get(key);
                            return entry == null
                                    ? Either.left(
                                            CliFailure.badInput("no entry " + key + " in force"))
                                    : Either.right(Result.of(entry, JsonDocuments.pretty(entry)));
                        });
    }

    private static String text(JsonNode config) {
        StringBuilder text = new StringBuilder("version " + config.path("version").asText());
        for (JsonNode member : config.path("members")) {
            boolean current =
                    member.path("configVersion").asLong() == config.path("version").asLong();
            text.append("\n  instance ")
                    .append(member.path("instance").asText())
                    .append(current ? ": in force" : ": behind, at ")
                    .append(current ? "" : member.path("configVersion").asText());
        }
        config.path("entries")
                .properties()
                .forEach(
                        entry ->
                                text.append('\n')
                                        .append(entry.getKey())
                                        .append(" = ")
                                        .append(entry.getValue()));
        return text.toString();
    }
}
