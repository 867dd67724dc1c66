package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * One question.
 *
 * @param key key of the answer within its section
 * @param prompt text for people, with the unit
 * @param check what is accepted
 * @param fallback used if there is no answer; empty if an answer is required
 */
record Question(String key, String prompt, AnswerCheck check, Optional<JsonNode> fallback) {
    static Question required(String key, String prompt, AnswerCheck check) {
        return new Question(key, prompt, check, Optional.empty());
    }

    static Question withDefault(String key, String prompt, AnswerCheck check, String fallback) {
        return new Question(key, prompt, check, Optional.of(check.parse(fallback)));
    }
}
