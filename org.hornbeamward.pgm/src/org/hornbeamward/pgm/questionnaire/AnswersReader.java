package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;

/** Validates an answers document against the questions, then checks it for contradictions. */
final class AnswersReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<InvalidSetting> mProblems = new ArrayList<>();

    private AnswersReader() {}

    /** Returns the answers with defaults filled in, or all problems with their paths. */
    static Either<HornbeamwardError, Answers> read(ObjectNode document) {
        AnswersReader reader = new AnswersReader();
        ObjectNode filled = reader.fill(document);
        if (!reader.mProblems.isEmpty()) {
            return Either.left(new InvalidSettings(List.copyOf(reader.mProblems)));
        }
        Answers answers = convert(filled);
        List<InvalidSetting> contradictions = Contradictions.find(answers);
        return contradictions.isEmpty()
                ? Either.right(answers)
                : Either.left(new InvalidSettings(contradictions));
    }

    private static Answers convert(ObjectNode filled) {
        try {
            return MAPPER.treeToValue(filled, Answers.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the Answers records do not match the questions", e);
        }
    }

    private ObjectNode fill(ObjectNode document) {
        ObjectNode filled = MAPPER.createObjectNode();
        List<String> known = Sections.ALL.stream().map(Section::key).toList();
        reportUnknown("", document, known);
        for (Section section : Sections.ALL) {
            JsonNode value = document.get(section.key());
            if (section.repeated()) {
                filled.set(section.key(), fillAll(section, value));
            } else {
                filled.set(section.key(), fillOne(section, section.key(), value));
            }
        }
        return filled;
    }

    private ArrayNode fillAll(Section section, JsonNode value) {
        ArrayNode items = MAPPER.createArrayNode();
        boolean absent = value == null;
        if (!absent && !value.isArray()) {
            addProblem(section.key(), "must be an array in square brackets");
            return items;
        }
        if ((absent ? 0 : value.size()) < section.minCount()) {
            addProblem(
                    section.key(), "needs at least " + section.minCount() + " " + section.title());
        }
        for (int index = 0; !absent && index < value.size(); index++) {
            items.add(fillOne(section, section.key() + "[" + index + "]", value.get(index)));
        }
        return items;
    }

    private ObjectNode fillOne(Section section, String path, JsonNode value) {
        ObjectNode filled = MAPPER.createObjectNode();
        if (!(value instanceof ObjectNode object)) {
            addProblem(path, value == null ? "is missing; add it" : "must be an object in braces");
            return filled;
        }
        reportUnknown(
                path + ".",
                object,
                section.questions().stream().map(Question::key).collect(Collectors.toList()));
        for (Question question : section.questions()) {
            String key = question.key();
            JsonNode answer = object.get(key);
            if (answer == null) {
                question.defaultValue()
                        .ifPresentOrElse(
                                defaultValue -> filled.set(key, defaultValue),
                                () -> addProblem(path + "." + key, "is missing; add it"));
                continue;
            }
            Optional<String> remedy = question.check().remedyFor(answer);
            remedy.ifPresent(text -> addProblem(path + "." + key, text));
            filled.set(key, answer);
        }
        return filled;
    }

    private void reportUnknown(String prefix, ObjectNode object, List<String> known) {
        object.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!known.contains(key)) {
                                addProblem(
                                        prefix + key,
                                        "unknown key; use one of " + String.join(", ", known));
                            }
                        });
    }

    private void addProblem(String path, String detail) {
        mProblems.add(new InvalidSetting(path, detail));
    }
}
