package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;
import org.hornbeamward.pgm.admin.JobSpecJson;
import org.hornbeamward.pgm.settings.FieldReader;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** Reads a jobs file: an object whose only key {@code jobs} contains an array of declarations. */
final class JobFile {
    private JobFile() {}

    static Either<HornbeamwardError, List<JobSpec>> read(Path file) {
        return JsonDocuments.readFile(file).flatMap(JobFile::validate);
    }

    private static Either<HornbeamwardError, List<JobSpec>> validate(ObjectNode document) {
        JsonNode jobs = document.path("jobs");
        List<InvalidSetting> problems = new ArrayList<>();
        List<JobSpec> specs = new ArrayList<>();
        if (!jobs.isArray() || document.size() != 1) {
            problems.add(new InvalidSetting("jobs", "must be an array, and the only key"));
        }
        int index = 0;
        for (JsonNode job : jobs) {
            String path = "jobs[" + index + "]";
            index++;
            if (!(job instanceof ObjectNode object)) {
                problems.add(new InvalidSetting(path, "must be an object in braces"));
                continue;
            }
            FieldReader reader = FieldReader.of(object);
            Optional<JobSpec> spec = JobSpecJson.read(reader);
            Either<HornbeamwardError, JobSpec> result = reader.finish(spec::orElseThrow);
            if (result.isRight()) {
                specs.add(result.get());
            } else if (result.getLeft() instanceof InvalidSettings invalid) {
                invalid.problems()
                        .forEach(
                                problem ->
                                        problems.add(
                                                new InvalidSetting(
                                                        path + "." + problem.key(),
                                                        problem.detail())));
            }
        }
        return problems.isEmpty()
                ? Either.right(specs)
                : Either.left(new InvalidSettings(problems));
    }
}
