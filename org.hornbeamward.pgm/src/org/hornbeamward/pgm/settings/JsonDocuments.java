package org.hornbeamward.pgm.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;
import org.hornbeamward.errors.OversizedInput;

/** Reads and writes JSON documents. Files that people edit may contain comments. */
public final class JsonDocuments {
    /** Maximum size of a file that is read. */
    public static final int MAX_FILE_BYTES = 1024 * 1024;

    private static final ObjectMapper LENIENT =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private static final ObjectMapper STRICT =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private JsonDocuments() {}

    /**
     * Reads a file that contains one JSON object; comments are allowed.
     *
     * @param file the file
     * @return the object, or the error: {@link OversizedInput} above {@link #MAX_FILE_BYTES},
     *     otherwise {@link InvalidSettings}
     */
    public static Either<HornbeamwardError, ObjectNode> readFile(Path file) {
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MAX_FILE_BYTES + 1);
            if (bytes.length > MAX_FILE_BYTES) {
                return Either.left(
                        new OversizedInput(file.toString(), bytes.length, MAX_FILE_BYTES));
            }
            return parse(file.toString(), new String(bytes, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return Either.left(
                    invalid(
                            file.toString(),
                            "cannot be read ("
                                    + e.getClass().getSimpleName()
                                    + "); check the path"
                                    + " and its permissions"));
        }
    }

    /**
     * Parses a text that contains one JSON object; comments are allowed.
     *
     * @param name name of the document in error messages
     * @param text the text
     * @return the object, or one problem with its line and column
     */
    public static Either<HornbeamwardError, ObjectNode> parse(String name, String text) {
        return parse(LENIENT, name, text);
    }

    /**
     * Parses the body of a request, which must be one JSON object without comments.
     *
     * @param body the body in UTF-8
     * @return the object, or one problem with its line and column
     */
    public static Either<HornbeamwardError, ObjectNode> parseBody(byte[] body) {
        return parse(STRICT, "body", new String(body, StandardCharsets.UTF_8));
    }

    /**
     * Returns an empty object.
     *
     * @return a new node
     */
    public static ObjectNode object() {
        return STRICT.createObjectNode();
    }

    /**
     * Writes a value on one line.
     *
     * @param value the value
     * @return JSON text
     */
    public static String compact(JsonNode value) {
        return value.toString();
    }

    /**
     * Writes a value with indentation.
     *
     * @param value the value
     * @return JSON text without a trailing line break
     */
    public static String pretty(JsonNode value) {
        return value.toPrettyString();
    }

    private static Either<HornbeamwardError, ObjectNode> parse(
            ObjectMapper mapper, String name, String text) {
        try {
            JsonNode node = mapper.readTree(text);
            if (node instanceof ObjectNode object) {
                return Either.right(object);
            }
            return Either.left(invalid(name, "must be one JSON object in braces"));
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String position =
                    location == null
                            ? name
                            : name + ":" + location.getLineNr() + ":" + location.getColumnNr();
            String detail = e.getOriginalMessage().lines().findFirst().orElse("unreadable");
            return Either.left(invalid(position, "not valid JSON: " + detail));
        }
    }

    private static InvalidSettings invalid(String key, String detail) {
        return new InvalidSettings(List.of(new InvalidSetting(key, detail)));
    }
}
