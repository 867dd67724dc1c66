package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.StringJoiner;
import org.hornbeamward.errors.HornbeamwardError;

/** Validates answers and generates a configuration and jobs from them. */
public final class Questionnaire {
    private Questionnaire() {}

    /**
     * Validates answers, checks them for contradictions and generates the files.
     *
     * @param answers the answers document
     * @return the files, or all problems, each with its path and remedy
     */
    public static Either<HornbeamwardError, GeneratedFiles> generate(ObjectNode answers) {
        return AnswersReader.read(answers)
                .map(
                        checked -> {
                            Generator generator = new Generator(checked);
                            return new GeneratedFiles(
                                    checked.deployment().name(),
                                    generator.entries(),
                                    generator.jobs());
                        });
    }

    /**
     * Lists every question with its answer, for review by a person.
     *
     * @param answers the answers document, complete or not
     * @return one line for each question; a missing answer is marked
     */
    public static String review(ObjectNode answers) {
        StringJoiner lines = new StringJoiner("\n");
        for (Section section : Sections.ALL) {
            JsonNode value = answers.path(section.key());
            if (!section.repeated()) {
                reviewOne(section, section.key(), value, lines);
            }
            for (int index = 0; section.repeated() && index < value.size(); index++) {
                reviewOne(section, section.key() + "[" + index + "]", value.get(index), lines);
            }
        }
        return lines.toString();
    }

    private static void reviewOne(
            Section section, String path, JsonNode value, StringJoiner lines) {
        lines.add(path + " (" + section.title() + ")");
        for (Question question : section.questions()) {
            JsonNode answer = value.get(question.key());
            String shown =
                    answer != null
                            ? answer.toString()
                            : question.defaultValue()
                                    .map(defaultValue -> defaultValue + " (default)")
                                    .orElse("MISSING");
            lines.add("  " + question.key() + ": " + question.prompt() + ": " + shown);
        }
    }
}
