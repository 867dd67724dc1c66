package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.hornbeamward.pgm.questionnaire.GeneratedFiles;
import org.hornbeamward.pgm.questionnaire.Interview;
import org.hornbeamward.pgm.questionnaire.Questionnaire;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Asks about a deployment and generates its configuration and jobs. */
@Command(
        name = "questionnaire",
        description = "Asks about a deployment and generates its configuration and jobs.")
final class QuestionnaireVerb extends Verb {
    private final BufferedReader mIn;

    @Option(
            names = "--answers",
            paramLabel = "FILE",
            description = "use the answers of this file and ask nothing")
    private @Nullable Path mAnswers;

    @Option(
            names = "--save",
            paramLabel = "FILE",
            defaultValue = "answers.json",
            description = "file to resume from and to save to (default ${DEFAULT-VALUE})")
    private Path mSave = Path.of("answers.json");

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "generated",
            description = "directory for config.json and jobs.json (default ${DEFAULT-VALUE})")
    private Path mOut = Path.of("generated");

    @Option(names = "--review", description = "list the answers and generate nothing")
    private boolean mReview;

    QuestionnaireVerb(BufferedReader in) {
        mIn = in;
    }

    @Override
    Either<CliFailure, Result> run() {
        Path answers = mAnswers;
        try {
            if (mReview) {
                return JsonDocuments.readFile(answers == null ? mSave : answers)
                        .mapLeft(CliFailure::badInput)
                        .map(document -> Result.of(document, Questionnaire.review(document)));
            }
            if (answers != null) {
                return JsonDocuments.readFile(answers)
                        .flatMap(Questionnaire::generate)
                        .mapLeft(CliFailure::badInput)
                        .flatMap(this::write);
            }
            return interview();
        } catch (IOException | UncheckedIOException e) {
            return Either.left(ioFailure(e));
        }
    }

    private Either<CliFailure, Result> interview() throws IOException {
        ObjectNode answers = JsonDocuments.object();
        if (Files.exists(mSave)) {
            var saved = JsonDocuments.readFile(mSave);
            if (saved.isLeft()) {
                return Either.left(CliFailure.badInput(saved.getLeft()));
            }
            answers = saved.get();
        }
        Interview interview =
                new Interview(mIn, spec().commandLine().getErr(), answers, this::save);
        Optional<GeneratedFiles> files = interview.run();
        return files.isEmpty()
                ? Either.left(
                        CliFailure.badInput(
                                "the answers are not complete; run again with --save "
                                        + mSave
                                        + " to resume"))
                : write(files.get());
    }

    private Either<CliFailure, Result> write(GeneratedFiles files) {
        Path config = mOut.resolve("config.json");
        Path jobs = mOut.resolve("jobs.json");
        try {
            Files.createDirectories(mOut);
            Files.writeString(config, files.configText());
            Files.writeString(jobs, files.jobsText());
        } catch (IOException e) {
            return Either.left(ioFailure(e));
        }
        return Either.right(Result.of(files.json(), "wrote " + config + " and " + jobs));
    }

    private void save(ObjectNode answers) {
        try {
            Files.writeString(mSave, JsonDocuments.pretty(answers) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static CliFailure ioFailure(Exception e) {
        return CliFailure.badInput(
                "a file cannot be read or written ("
                        + e.getMessage()
                        + "); check the path and its permissions");
    }
}
