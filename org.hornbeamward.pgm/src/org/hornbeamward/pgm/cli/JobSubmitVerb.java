package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.pgm.admin.JobSpecJson;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits the jobs of a jobs file in order; stops at the first failure. */
@Command(name = "submit", description = "Submits the jobs of a jobs file in order.")
final class JobSubmitVerb extends Verb {
    @Parameters(paramLabel = "FILE", description = "jobs file, for example of the questionnaire")
    private Path mFile = Path.of("");

    @Option(names = "--job", paramLabel = "JOB", description = "submit only this job of the file")
    private @Nullable String mJob;

    @Option(
            names = "--as",
            paramLabel = "NAME",
            description = "submit under this name; needs --job, since a name is used once")
    private @Nullable String mName;

    @Mixin private CommandIdOption mCommandId = new CommandIdOption();

    @Override
    Either<CliFailure, Result> run() {
        return JobFile.read(mFile)
                .mapLeft(CliFailure::badInput)
                .flatMap(this::select)
                .flatMap(
                        jobs ->
                                mCommandId.withRetryHint(
                                        withClient(client -> submitAll(client, jobs))));
    }

    private Either<CliFailure, List<JobSpec>> select(List<JobSpec> jobs) {
        String only = mJob;
        String name = mName;
        List<JobSpec> selected =
                only == null
                        ? jobs
                        : jobs.stream().filter(job -> job.id().value().equals(only)).toList();
        if (selected.isEmpty()) {
            return Either.left(CliFailure.badInput("the file holds no such job"));
        }
        if (name == null) {
            return Either.right(selected);
        }
        if (only == null) {
            return Either.left(CliFailure.badInput("--as needs --job"));
        }
        return JobId.parse(name)
                .mapLeft(CliFailure::badInput)
                .map(id -> List.of(renamed(selected.get(0), id)));
    }

    private Either<CliFailure, Result> submitAll(AdminClient client, List<JobSpec> jobs) {
        ArrayNode results = JsonDocuments.object().arrayNode();
        List<String> lines = new ArrayList<>();
        for (JobSpec job : jobs) {
            ObjectNode body = JsonDocuments.object();
            // Each job of the file is a separate command; a retry derives the same command ids.
            String suffix = jobs.size() == 1 ? "" : "." + lines.size();
            body.put("commandId", mCommandId.value() + suffix);
            body.set("job", JobSpecJson.write(job));
            var result = client.post("/v1/jobs", body);
            if (result.isLeft()) {
                CliFailure failure = result.getLeft();
                String submittedBefore =
                        lines.isEmpty() ? "" : String.join("; ", lines) + "; then ";
                // UNREACHABLE means that nothing changed, which is false once an earlier job was
                // submitted. A retry with the same command id submits only the remaining jobs.
                boolean partlySubmitted =
                        !lines.isEmpty() && failure.exitCode() == ExitCodes.UNREACHABLE;
                return Either.left(
                        new CliFailure(
                                partlySubmitted ? ExitCodes.OUTCOME_UNKNOWN : failure.exitCode(),
                                failure.kind(),
                                submittedBefore + "job " + job.id() + ": " + failure.message()));
            }
            results.add(result.get());
            lines.add("submitted " + job.id());
        }
        return Either.right(Result.of(results, String.join("\n", lines)));
    }

    private static JobSpec renamed(JobSpec job, JobId id) {
        return new JobSpec(
                id,
                job.team(),
                job.className(),
                job.kind(),
                job.taskCount(),
                job.resources(),
                job.urgent(),
                job.checkpointable(),
                job.expectedRunMillis(),
                job.agreedPeriodMillis());
    }
}
