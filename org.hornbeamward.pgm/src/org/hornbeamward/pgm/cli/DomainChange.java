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

/** What the verbs that change a failure domain share. */
final class DomainChange {
    @Parameters(paramLabel = "FAILURE_DOMAIN", description = "name of the failure domain")
    private String mDomain = "";

    @Option(
            names = "--base-version",
            paramLabel = "N",
            description = "version of the failure domain that was seen; default: the current one")
    private @Nullable Long mBaseVersion;

    @Mixin private CommandIdOption mCommandId = new CommandIdOption();

    /** Sends the change; the body gets command id and base version. */
    Either<CliFailure, Verb.Result> send(
            AdminClient client, String action, ObjectNode body, String done) {
        Either<MalformedId, FailureDomainId> id = FailureDomainId.parse(mDomain);
        if (id.isLeft()) {
            return Either.left(CliFailure.badInput(id.getLeft()));
        }
        return mCommandId.explain(
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
                                                        + done
                                                        + ", version "
                                                        + node.path("version").asText())));
    }

    static ObjectNode emptyBody() {
        return JsonDocuments.object();
    }

    /** Also guards against a mistyped name, for which the first change would be accepted. */
    private Either<CliFailure, Long> baseVersion(AdminClient client) {
        Long seen = mBaseVersion;
        if (seen != null) {
            return Either.right(seen);
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
