package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.hornbeamward.lib.JobId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows one job with the state of each task and why a pending task waits. */
@Command(name = "show", description = "Shows a job with each task's state and why it waits.")
final class JobShowVerb extends Verb {
    @Parameters(paramLabel = "JOB", description = "name of the job")
    private String mJob = "";

    @Override
    Either<CliFailure, Result> run() {
        return JobId.parse(mJob)
                .mapLeft(CliFailure::badInput)
                .flatMap(id -> view("/v1/jobs/" + id, JobShowVerb::text));
    }

    private static String text(JsonNode job) {
        StringBuilder text = new StringBuilder();
        text.append("job ")
                .append(job.path("job").asText())
                .append(" of team ")
                .append(job.path("team").asText())
                .append(", ")
                .append(job.path("kind").asText())
                .append(job.path("cancelled").asBoolean() ? ", cancelled" : "")
                .append(job.path("ended").asBoolean() ? ", ended" : "");
        if (job.has("rejectReason")) {
            text.append("\ncan never run: ").append(job.path("rejectReason").asText());
        }
        TextTable table =
                new TextTable("task", "state", "worker", "checkpoint", "placed", "evicted", "why");
        for (JsonNode task : job.path("tasks")) {
            table.add(
                    task.path("index").asText(),
                    task.path("state").asText(),
                    task.path("worker").asText("-"),
                    task.path("checkpoint").asText(),
                    task.path("placementCount").asText(),
                    task.path("evictionCount").asText(),
                    detail(task));
        }
        return text.append('\n').append(table.render()).toString();
    }

    private static String detail(JsonNode task) {
        return switch (task.path("state").asText()) {
            case "PENDING" -> task.at("/waits/text").asText();
            case "STOPPING" -> task.path("reason").asText();
            case "ENDED" -> task.path("result").asText();
            default -> "-";
        };
    }
}
