package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.pgm.settings.JsonDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Ends a worker's quarantine. */
@Command(name = "release", description = "Ends a worker's quarantine.")
final class WorkerReleaseVerb extends Verb {
    @Parameters(paramLabel = "WORKER", description = "name of the worker")
    private String mWorker = "";

    @Mixin private CommandIdOption mCommandId = new CommandIdOption();

    @Override
    Either<CliFailure, Result> run() {
        return WorkerId.parse(mWorker)
                .mapLeft(CliFailure::badInput)
                .flatMap(id -> mCommandId.withRetryHint(withClient(client -> release(client, id))));
    }

    private Either<CliFailure, Result> release(AdminClient client, WorkerId id) {
        return client.post(
                        "/v1/workers/" + id + "/release",
                        JsonDocuments.object().put("commandId", mCommandId.value()))
                .map(node -> Result.of(node, "worker " + id + " is released"));
    }
}
