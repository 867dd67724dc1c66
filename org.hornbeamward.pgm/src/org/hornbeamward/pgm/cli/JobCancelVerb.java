package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.pgm.settings.JsonDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Cancels a job. */
@Command(name = "cancel", description = "Cancels a job; its running tasks are stopped.")
final class JobCancelVerb extends Verb {
    @Parameters(paramLabel = "JOB", description = "name of the job")
    private String mJob = "";

    @Mixin private CommandIdOption mCommandId = new CommandIdOption();

    @Override
    Either<CliFailure, Result> run() {
        return JobId.parse(mJob)
                .mapLeft(CliFailure::badInput)
                .flatMap(id -> mCommandId.withRetryHint(withClient(client -> cancel(client, id))));
    }

    private Either<CliFailure, Result> cancel(AdminClient client, JobId id) {
        return client.post(
                        "/v1/jobs/" + id + "/cancel",
                        JsonDocuments.object().put("commandId", mCommandId.value()))
                .map(node -> Result.of(node, "job " + id + " is cancelled"));
    }
}
