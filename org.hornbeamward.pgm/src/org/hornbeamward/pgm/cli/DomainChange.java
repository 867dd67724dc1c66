package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.MalformedId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Parameters and request of the verbs that change a failure domain. */
final class DomainChange {
    @Parameters(paramLabel = "FAILURE_DOMAIN", description = "name of the failure domain")
    private String mDomain = "";

    @Option(
            names = "--base-version",
            paramLabel = "N",
            description = "version of the failure domain that was seen; default: the current one")
    private @Nullable Long mBaseVersion;

    @Mixin private CommandIdOption mCommandId = new CommandIdOption();

    /** Sends the change, with the command id and the base version added to the body. */
    Either<CliFailure, Verb.Result> send(
            AdminClient client, String action, ObjectNode body, String resultText) {
        Either<MalformedId, FailureDomainId> id = FailureDomainId.parse(mDomain);
        if (id.isLeft()) {
            return Either.left(CliFailure.badInput(id.getLeft()));
        }
        return mCommandId.withRetryHint(
                baseVersion(client)
                        .flatMap(
                                base ->
                                        client.post(
                                                "/v1/domains/" + mDomain + "/" + action,
                                                body.put("commandId", mCommandId.value())
                                                        .put("baseVersion", base)))
                        .map(
                                node ->
                                        Verb.Result.of(
                                                node,
                                                mDomain
                                                        + " "
                                                        + resultText
                                                        + ", version "
                                                        + node.path("version").asText())));
    }

    static ObjectNode emptyBody() {
        return JsonDocuments.object();
    }

    /**
     * Returns the given base version, or the current version of the failure domain. Reading the
     * current version also rejects a mistyped name, for which the first change would otherwise be
     * accepted.
     */
    private Either<CliFailure, Long> baseVersion(AdminClient client) {
        Long givenBase = mBaseVersion;
        if (givenBase != null) {
            return Either.right(givenBase);
        }
        return client.get("/v1/domains").flatMap(this::versionIn);
    }

    private Either<CliFailure, Long> versionIn(JsonNode domains) {
        List<String> names = new ArrayList<>();
        for (JsonNode domain : domains) {
            String name = domain.path("failureDomain").asText();
            if (name.equals(mDomain)) {
                return Either.right(domain.path("version").asLong());
            }
            names.add(name);
        }
        return Either.left(
                CliFailure.badInput("no failure domain " + mDomain + "; use one of " + names));
    }
}
