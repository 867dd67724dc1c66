package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * A question of the questionnaire.
 *
 * @param key key of the answer within its section
 * @param prompt text shown to the operator, with the unit
 * @param check parses and validates the answer
 * @param defaultValue value used if there is no answer; empty if an answer is required
 */
record Question(String key, String prompt, AnswerCheck check, Optional<JsonNode> defaultValue) {
    static Question required(String key, String prompt, AnswerCheck check) {
        return new Question(key, prompt, check, Optional.empty());
    }

    static Question withDefault(String key, String prompt, AnswerCheck check, String defaultValue) {
        return new Question(key, prompt, check, Optional.of(check.parse(defaultValue)));
    }
}
