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
 * all problems are reported at once. Not safe for use by several threads.
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
     * Reports unknown keys and ends the reading.
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
     * @param detail what is wrong and what is accepted
     */
    public void problem(String key, String detail) {
        mProblems.add(new InvalidSetting(pathOf(key), detail));
    }

    /**
     * Tells whether a key is present.
     *
     * @param key the key
     * @return true if it has a value
     */
    public boolean has(String key) {
        return mNode.has(key);
    }

    /**
     * Reads a required text.
     *
     * @param key the key
     * @return the text; empty after a problem
     */
    public String text(String key) {
        return required(key).map(node -> textOf(key, node)).orElse("");
    }

    /**
     * Reads a text.
     *
     * @param key the key
     * @param fallback used if the key is absent
     * @return the text
     */
    public String text(String key, String fallback) {
        return find(key).map(node -> textOf(key, node)).orElse(fallback);
    }

    /**
     * Reads a required text with a syntax of its own.
     *
     * @param key the key
     * @param parser parses the text
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
            problem(key, "must be text in quotes");
            return Optional.empty();
        }
        return accept(key, parser.apply(node.get().textValue()));
    }

    /**
     * Reads a required whole number.
     *
     * @param key the key
     * @param min least accepted value
     * @param max greatest accepted value
     * @return the number; {@code min} after a problem
     */
    public long integer(String key, long min, long max) {
        return required(key).map(node -> integerOf(key, node, min, max)).orElse(min);
    }

    /**
     * Reads a whole number.
     *
     * @param key the key
     * @param min least accepted value
     * @param max greatest accepted value
     * @param fallback used if the key is absent
     * @return the number
     */
    public long integer(String key, long min, long max, long fallback) {
        return find(key).map(node -> integerOf(key, node, min, max)).orElse(fallback);
    }

    /**
     * Reads a flag.
     *
     * @param key the key
     * @param fallback used if the key is absent
     * @return the flag
     */
    public boolean flag(String key, boolean fallback) {
        Optional<JsonNode> node = find(key);
        if (node.isEmpty()) {
            return fallback;
        }
        if (!node.get().isBoolean()) {
            problem(key, "must be true or false");
        }
        return node.get().asBoolean();
    }

    /**
     * Reads a required object.
     *
     * @param key the key
     * @return a reader of its fields; of no fields after a problem
     */
    public FieldReader object(String key) {
        Optional<JsonNode> node = required(key);
        if (node.isPresent() && node.get() instanceof ObjectNode object) {
            return child(pathOf(key), object);
        }
        if (node.isPresent()) {
            problem(key, "must be an object in braces");
        }
        // The problem is reported already, so the fields of the stand-in must not add theirs.
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
     * Returns the keys of this object and marks them as known, for maps with keys of any name.
     *
     * @return the keys in order
     */
    public Set<String> keys() {
        Set<String> keys = new TreeSet<>();
        mNode.fieldNames().forEachRemaining(keys::add);
        mKnownKeys.addAll(keys);
        return keys;
    }

    /**
     * Returns a value as it is and marks its key as known.
     *
     * @param key the key
     * @return the value, or empty if the key is absent
     */
    public Optional<JsonNode> find(String key) {
        mKnownKeys.add(key);
        return Optional.ofNullable(mNode.get(key));
    }

    private <T> Optional<T> accept(String key, Either<? extends HornbeamwardError, T> parsed) {
        if (parsed.isLeft()) {
            problem(key, parsed.getLeft().message());
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
            problem(key, "is missing; add it");
        }
        return node;
    }

    private String textOf(String key, JsonNode node) {
        if (!node.isTextual()) {
            problem(key, "must be text in quotes");
        } else if (node.textValue().isBlank()) {
            problem(key, "must not be empty");
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
            problem(key, "must be a whole number from " + min + " to " + max);
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
                                problem(
                                        key,
                                        "unknown key; remove it or use one of "
                                                + String.join(", ", new TreeSet<>(mKnownKeys)));
                            }
                        });
        mChildren.forEach(FieldReader::reportUnknownKeys);
    }
}
