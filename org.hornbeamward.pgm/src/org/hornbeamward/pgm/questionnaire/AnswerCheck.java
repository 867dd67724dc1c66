package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DecimalNode;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.math.BigDecimal;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** Parses and validates the answer to a question. Immutable. */
sealed interface AnswerCheck {
    /** Parses typed text. Text that does not match the type becomes a text value. */
    JsonNode parse(String typed);

    /** Returns how to correct an invalid value, or empty for a valid one. */
    Optional<String> remedyFor(JsonNode value);

    /** A name, with the syntax that all names share. */
    record Name() implements AnswerCheck {
        @Override
        public JsonNode parse(String typed) {
            return TextNode.valueOf(typed);
        }

        @Override
        public Optional<String> remedyFor(JsonNode value) {
            boolean valid = value.isTextual() && TeamId.parse(value.textValue()).isRight();
            return remedy(valid, "use 1 to 64 letters, digits, '.', '_' or '-'");
        }
    }

    /** An address with a port above 0. */
    record Address() implements AnswerCheck {
        @Override
        public JsonNode parse(String typed) {
            return TextNode.valueOf(typed);
        }

        @Override
        public Optional<String> remedyFor(JsonNode value) {
            boolean valid =
                    value.isTextual()
                            && HostPort.parse(value.textValue())
                                    .exists(address -> address.port() > 0);
            return remedy(valid, "use host:port with a port from 1 to 65535");
        }
    }

    /** One word out of a fixed set. */
    record Choice(List<String> words) implements AnswerCheck {
        @Override
        public JsonNode parse(String typed) {
            return TextNode.valueOf(typed);
        }

        @Override
        public Optional<String> remedyFor(JsonNode value) {
            boolean valid = value.isTextual() && words.contains(value.textValue());
            return remedy(valid, "use one of " + String.join(", ", words));
        }
    }

    /** A list of distinct words out of a fixed set. */
    record Choices(List<String> words) implements AnswerCheck {
        @Override
        public JsonNode parse(String typed) {
            ArrayNode list = JsonDocuments.object().arrayNode();
            Arrays.stream(typed.split("[ ,]+")).filter(s -> !s.isEmpty()).forEach(list::add);
            return list;
        }

        @Override
        public Optional<String> remedyFor(JsonNode value) {
            List<String> seen = new java.util.ArrayList<>();
            value.forEach(item -> seen.add(item.asText()));
            boolean valid =
                    value.isArray()
                            && words.containsAll(seen)
                            && seen.stream().distinct().count() == seen.size();
            return remedy(valid, "list each at most once out of " + String.join(", ", words));
        }
    }

    /** A whole number within inclusive bounds. */
    record Whole(long min, long max) implements AnswerCheck {
        @Override
        public JsonNode parse(String typed) {
            return typed.matches("-?[0-9]{1,18}")
                    ? LongNode.valueOf(Long.parseLong(typed))
                    : TextNode.valueOf(typed);
        }

        @Override
        public Optional<String> remedyFor(JsonNode value) {
            boolean valid =
                    value.isIntegralNumber()
                            && value.canConvertToLong()
                            && value.longValue() >= min
                            && value.longValue() <= max;
            return remedy(valid, "use a whole number from " + min + " to " + max);
        }
    }

    /** A decimal number within inclusive bounds. */
    record Decimal(double min, double max) implements AnswerCheck {
        @Override
        public JsonNode parse(String typed) {
            return typed.matches("-?[0-9]{1,9}(\\.[0-9]{1,9})?")
                    ? DecimalNode.valueOf(new BigDecimal(typed))
                    : TextNode.valueOf(typed);
        }

        @Override
        public Optional<String> remedyFor(JsonNode value) {
            boolean valid =
                    value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max;
            return remedy(valid, "use a number from " + min + " to " + max);
        }
    }

    /** A boolean, typed as yes or no. */
    record Flag() implements AnswerCheck {
        @Override
        public JsonNode parse(String typed) {
            return switch (typed) {
                case "y", "yes", "true" -> BooleanNode.TRUE;
                case "n", "no", "false" -> BooleanNode.FALSE;
                default -> TextNode.valueOf(typed);
            };
        }

        @Override
        public Optional<String> remedyFor(JsonNode value) {
            return remedy(value.isBoolean(), "use true or false (typed: yes or no)");
        }
    }

    private static Optional<String> remedy(boolean valid, String remedy) {
        return valid ? Optional.empty() : Optional.of(remedy);
    }
}
