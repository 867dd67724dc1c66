package org.hornbeamward.pgm.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;

/**
 * Reads the fields of one JSON object and collects every problem with the path of its key, so that
 * all problems are reported at once. Not thread-safe.
 */
public final class FieldReader {
    private final String mPath;
    private final ObjectNode mNode;
    private final List<InvalidSetting> mProblems;
    private final Set<String> mKnownKeys = new HashSet<>();
    private final List<FieldReader> mChildren = new ArrayList<>();

    private FieldReader(String path, ObjectNode node, List<InvalidSetting> problems) {
        mPath = path;
        mNode = node;
        mProblems = problems;
    }

    /**
     * Creates a reader of a whole document.
     *
     * @param node the document
     * @return the reader
     */
    public static FieldReader of(ObjectNode node) {
        return new FieldReader("", node, new ArrayList<>());
    }

    /**
     * Reports unknown keys and builds the result.
     *
     * @param result builds the result; called only if there is no problem
     * @param <T> type of the result
     * @return the result, or all problems
     */
    public <T> Either<HornbeamwardError, T> finish(Supplier<T> result) {
        reportUnknownKeys();
        return mProblems.isEmpty()
                ? Either.right(result.get())
                : Either.left(new InvalidSettings(List.copyOf(mProblems)));
    }

    /**
     * Adds a problem.
     *
     * @param key key within this object
     * @param detail what is wrong and which values are accepted
     */
    public void addProblem(String key, String detail) {
        mProblems.add(new InvalidSetting(pathOf(key), detail));
    }

    /**
     * Returns whether a key is present.
     *
     * @param key the key
     * @return true if it has a value
     */
    public boolean has(String key) {
        return mNode.has(key);
    }

    /**
     * Reads a required string.
     *
     * @param key the key
     * @return the string; empty after a problem
     */
    public String text(String key) {
        return required(key).map(node -> textOf(key, node)).orElse("");
    }

    /**
     * Reads an optional string.
     *
     * @param key the key
     * @param defaultValue value if the key is absent
     * @return the string
     */
    public String text(String key, String defaultValue) {
        return find(key).map(node -> textOf(key, node)).orElse(defaultValue);
    }

    /**
     * Reads a required string and parses it.
     *
     * @param key the key
     * @param parser parses the string
     * @param <T> type of the value
     * @return the value; empty after a problem
     */
    public <T> Optional<T> parsed(
            String key, Function<String, ? extends Either<? extends HornbeamwardError, T>> parser) {
        Optional<JsonNode> node = required(key);
        if (node.isEmpty()) {
            return Optional.empty();
        }
        if (!node.get().isTextual()) {
            addProblem(key, "must be text in quotes");
            return Optional.empty();
        }
        return valueOrProblem(key, parser.apply(node.get().textValue()));
    }

    /**
     * Reads a required integer.
     *
     * @param key the key
     * @param min smallest accepted value
     * @param max largest accepted value
     * @return the number; {@code min} after a problem
     */
    public long integer(String key, long min, long max) {
        return required(key).map(node -> integerOf(key, node, min, max)).orElse(min);
    }

    /**
     * Reads an optional integer.
     *
     * @param key the key
     * @param min smallest accepted value
     * @param max largest accepted value
     * @param defaultValue value if the key is absent
     * @return the number
     */
    public long integer(String key, long min, long max, long defaultValue) {
        return find(key).map(node -> integerOf(key, node, min, max)).orElse(defaultValue);
    }

    /**
     * Reads an optional boolean.
     *
     * @param key the key
     * @param defaultValue value if the key is absent
     * @return the boolean
     */
    public boolean flag(String key, boolean defaultValue) {
        Optional<JsonNode> node = find(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        if (!node.get().isBoolean()) {
            addProblem(key, "must be true or false");
        }
        return node.get().asBoolean();
    }

    /**
     * Reads a required object.
     *
     * @param key the key
     * @return a reader of its fields; a reader of an empty object after a problem
     */
    public FieldReader object(String key) {
        Optional<JsonNode> node = required(key);
        if (node.isPresent() && node.get() instanceof ObjectNode object) {
            return child(pathOf(key), object);
        }
        if (node.isPresent()) {
            addProblem(key, "must be an object in braces");
        }
        // The problem is already reported. Problems with fields of the substitute object are
        // collected in a separate list and discarded.
        return new FieldReader(pathOf(key), JsonDocuments.object(), new ArrayList<>());
    }

    /**
     * Reads an optional object.
     *
     * @param key the key
     * @return a reader of its fields, or empty if the key is absent
     */
    public Optional<FieldReader> optionalObject(String key) {
        return has(key) ? Optional.of(object(key)) : Optional.empty();
    }

    /**
     * Returns the keys of this object and marks them as known, for maps with arbitrary keys.
     *
     * @return the keys in sorted order
     */
    public Set<String> keys() {
        Set<String> keys = new TreeSet<>();
        mNode.fieldNames().forEachRemaining(keys::add);
        mKnownKeys.addAll(keys);
        return keys;
    }

    /**
     * Returns a value without conversion and marks its key as known.
     *
     * @param key the key
     * @return the value, or empty if the key is absent
     */
    public Optional<JsonNode> find(String key) {
        mKnownKeys.add(key);
        return Optional.ofNullable(mNode.get(key));
    }

    private <T> Optional<T> valueOrProblem(
            String key, Either<? extends HornbeamwardError, T> parsed) {
        if (parsed.isLeft()) {
            addProblem(key, parsed.getLeft().message());
            return Optional.empty();
        }
        return Optional.of(parsed.get());
    }

    private FieldReader child(String path, ObjectNode node) {
        FieldReader child = new FieldReader(path, node, mProblems);
        mChildren.add(child);
        return child;
    }

    private Optional<JsonNode> required(String key) {
        Optional<JsonNode> node = find(key);
        if (node.isEmpty()) {
            addProblem(key, "is missing; add it");
        }
        return node;
    }

    private String textOf(String key, JsonNode node) {
        if (!node.isTextual()) {
            addProblem(key, "must be text in quotes");
        } else if (node.textValue().isBlank()) {
            addProblem(key, "must not be empty");
        }
        return node.asText();
    }

    private long integerOf(String key, JsonNode node, long min, long max) {
        boolean accepted =
                node.isIntegralNumber()
                        && node.canConvertToLong()
                        && node.longValue() >= min
                        && node.longValue() <= max;
        if (!accepted) {
            addProblem(key, "must be a whole number from " + min + " to " + max);
        }
        return accepted ? node.longValue() : min;
    }

    private String pathOf(String key) {
        return mPath.isEmpty() ? key : mPath + "." + key;
    }

    private void reportUnknownKeys() {
        mNode.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!mKnownKeys.contains(key)) {
                                addProblem(
                                        key,
                                        "unknown key; remove it or use one of "
                                                + String.join(", ", new TreeSet<>(mKnownKeys)));
                            }
                        });
        mChildren.forEach(FieldReader::reportUnknownKeys);
    }
}
