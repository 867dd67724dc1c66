package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** Configuration entries declared in files that are kept in version control. */
final class Declarations {
    private final SortedMap<String, JsonNode> mEntries;

    private Declarations(SortedMap<String, JsonNode> entries) {
        mEntries = entries;
    }

    /** Reads one file, or all files of a directory whose names end in .json. */
    static Either<HornbeamwardError, Declarations> read(Path path) {
        SortedMap<String, JsonNode> entries = new TreeMap<>();
        Map<String, Path> files = new TreeMap<>();
        List<InvalidSetting> problems = new ArrayList<>();
        Either<HornbeamwardError, List<Path>> found = listFiles(path);
        if (found.isLeft()) {
            return Either.left(found.getLeft());
        }
        for (Path file : found.get()) {
            Either<HornbeamwardError, ObjectNode> document = JsonDocuments.readFile(file);
            if (document.isLeft()) {
                return Either.left(document.getLeft());
            }
            for (Map.Entry<String, JsonNode> entry : document.get().properties()) {
                String key = entry.getKey();
                Path earlier = files.putIfAbsent(key, file);
                if (earlier != null) {
                    problems.add(new InvalidSetting(key, "is in " + earlier + " and " + file));
                }
                if (!(entry.getValue() instanceof ObjectNode)) {
                    problems.add(new InvalidSetting(key, "must be an object in braces"));
                }
                entries.put(key, entry.getValue());
            }
        }
        return problems.isEmpty()
                ? Either.right(new Declarations(entries))
                : Either.left(new InvalidSettings(problems));
    }

    int size() {
        return mEntries.size();
    }

    /** Validates the entries as a complete configuration. */
    Either<HornbeamwardError, Configuration> validate() {
        return validate(mEntries);
    }

    /**
     * Computes the changes to publish.
     *
     * @param inForce entries in force
     * @param partial true to keep entries in force that are not declared here
     * @return new value of each changed key; a null node for an entry to remove
     */
    ObjectNode changesAgainst(JsonNode inForce, boolean partial) {
        ObjectNode changes = JsonDocuments.object();
        mEntries.forEach(
                (key, value) -> {
                    if (!value.equals(inForce.get(key))) {
                        changes.set(key, value);
                    }
                });
        if (!partial) {
            inForce.fieldNames()
                    .forEachRemaining(
                            key -> {
                                if (!mEntries.containsKey(key)) {
                                    changes.putNull(key);
                                }
                            });
        }
        return changes;
    }

    /** Validates the configuration that would be in force after the changes. */
    static Either<HornbeamwardError, Configuration> validate(JsonNode inForce, ObjectNode changes) {
        SortedMap<String, JsonNode> entries = new TreeMap<>();
        inForce.properties().forEach(entry -> entries.put(entry.getKey(), entry.getValue()));
        for (Map.Entry<String, JsonNode> change : changes.properties()) {
            if (change.getValue().isNull()) {
                entries.remove(change.getKey());
            } else {
                entries.put(change.getKey(), change.getValue());
            }
        }
        return validate(entries);
    }

    private static Either<HornbeamwardError, Configuration> validate(
            SortedMap<String, JsonNode> entries) {
        SortedMap<String, String> texts = new TreeMap<>();
        entries.forEach((key, value) -> texts.put(key, JsonDocuments.compact(value)));
        return Configuration.parse(texts).mapLeft(problems -> problems);
    }

    private static Either<HornbeamwardError, List<Path>> listFiles(Path path) {
        if (!Files.isDirectory(path)) {
            return Either.right(List.of(path));
        }
        try (Stream<Path> files = Files.list(path)) {
            return Either.right(
                    files.filter(file -> file.toString().endsWith(".json")).sorted().toList());
        } catch (IOException e) {
            return Either.left(
                    new InvalidSetting(path.toString(), "cannot be listed; check permissions"));
        }
    }
}
