package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;

/**
 * Asks interactively for the missing answers. Each answer is validated when entered and saved
 * immediately, so an interrupted interview can be resumed.
 */
public final class Interview {
    private static final Pattern PATH =
            Pattern.compile("([a-zA-Z]+)(?:\\[([0-9]{1,6})])?\\.(\\w+)");

    private final BufferedReader mIn;
    private final PrintWriter mOut;
    private final ObjectNode mAnswers;
    private final Consumer<ObjectNode> mSave;

    /**
     * Creates an interview.
     *
     * @param in typed answers, one per line
     * @param out output for prompts and problems
     * @param answers answers so far; the interview adds to them
     * @param save called after each accepted answer
     */
    public Interview(
            BufferedReader in, PrintWriter out, ObjectNode answers, Consumer<ObjectNode> save) {
        mIn = in;
        mOut = out;
        mAnswers = answers;
        mSave = save;
    }

    /**
     * Asks until the answers are complete and without contradictions.
     *
     * @return the generated files; empty if the input ended before that
     * @throws IOException if the input cannot be read
     */
    public Optional<GeneratedFiles> run() throws IOException {
        for (Section section : Sections.ALL) {
            boolean complete = section.repeated() ? askAll(section) : askOne(section);
            if (!complete) {
                return Optional.empty();
            }
        }
        while (true) {
            Either<HornbeamwardError, GeneratedFiles> result = Questionnaire.generate(mAnswers);
            if (result.isRight()) {
                return Optional.of(result.get());
            }
            printProblems(result.getLeft());
            if (!changeAnswer()) {
                return Optional.empty();
            }
        }
    }

    private boolean askOne(Section section) throws IOException {
        mOut.println("About " + section.title());
        return askQuestions(section, mAnswers.withObject("/" + section.key()));
    }

    private boolean askAll(Section section) throws IOException {
        ArrayNode items = mAnswers.withArray("/" + section.key());
        for (JsonNode item : items) {
            if (!(item instanceof ObjectNode object) || !askQuestions(section, object)) {
                return false;
            }
        }
        while (true) {
            if (items.size() >= section.minCount()) {
                Optional<Boolean> more =
                        askYesNo(
                                (items.isEmpty() ? "Is there a " : "Is there another ")
                                        + section.title());
                if (more.isEmpty() || !more.get()) {
                    return more.isPresent();
                }
            }
            mOut.println("About " + section.title() + " " + (items.size() + 1));
            if (!askQuestions(section, items.addObject())) {
                return false;
            }
        }
    }

    private boolean askQuestions(Section section, ObjectNode item) throws IOException {
        for (Question question : section.questions()) {
            if (!item.has(question.key()) && !ask(question, item)) {
                return false;
            }
        }
        return true;
    }

    private boolean ask(Question question, ObjectNode item) throws IOException {
        String suffix =
                question.defaultValue()
                        .map(defaultValue -> " [" + defaultValue.asText() + "]")
                        .orElse("");
        while (true) {
            String line = prompt("  " + question.prompt() + suffix + ": ");
            if (line == null) {
                return false;
            }
            JsonNode value =
                    line.isEmpty() && question.defaultValue().isPresent()
                            ? question.defaultValue().get()
                            : question.check().parse(line);
            Optional<String> remedy = question.check().remedyFor(value);
            if (remedy.isEmpty()) {
                item.set(question.key(), value);
                mSave.accept(mAnswers);
                return true;
            }
            mOut.println("  not accepted: " + remedy.get());
        }
    }

    private boolean changeAnswer() throws IOException {
        while (true) {
            String path = prompt("Path of the answer to change, such as teams[0].quotaCpuCount: ");
            if (path == null || path.isEmpty()) {
                return false;
            }
            Matcher matcher = PATH.matcher(path);
            Optional<Question> question = matcher.matches() ? question(matcher) : Optional.empty();
            if (question.isEmpty() || !(mAnswers.at(pointer(matcher)) instanceof ObjectNode item)) {
                mOut.println("  no such answer");
                continue;
            }
            return ask(question.get(), item);
        }
    }

    private static Optional<Question> question(Matcher matcher) {
        return Sections.ALL.stream()
                .filter(section -> section.key().equals(matcher.group(1)))
                .flatMap(section -> section.questions().stream())
                .filter(question -> question.key().equals(matcher.group(3)))
                .findFirst();
    }

    private static String pointer(Matcher matcher) {
        String index = matcher.group(2);
        return "/" + matcher.group(1) + (index == null ? "" : "/" + index);
    }

    private Optional<Boolean> askYesNo(String question) throws IOException {
        while (true) {
            String line = prompt(question + " (yes or no): ");
            if (line == null) {
                return Optional.empty();
            }
            if (line.equals("y") || line.equals("yes")) {
                return Optional.of(true);
            }
            if (line.equals("n") || line.equals("no")) {
                return Optional.of(false);
            }
        }
    }

    private void printProblems(HornbeamwardError error) {
        if (error instanceof InvalidSettings settings) {
            for (InvalidSetting problem : settings.problems()) {
                mOut.println("  " + problem.message());
            }
            return;
        }
        mOut.println("  " + error.message());
    }

    private @org.jspecify.annotations.Nullable String prompt(String text) throws IOException {
        mOut.print(text);
        mOut.flush();
        String line = mIn.readLine();
        return line == null ? null : line.strip();
    }
}
