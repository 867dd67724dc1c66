package org.hornbeamward.storage.list;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;

/**
 * Codec for the instance list in JSON: {@code {"version":N,"instances":[{"id","kind","address",
 * "failureDomain","state"}...]}}, where kind is {@code entry}, {@code endpoint} or {@code worker}
 * and state is {@code LIVE} or {@code LEAVING}. Other fields are ignored.
 */
public final class InstanceListCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern ADDRESS =
            Pattern.compile("(?:[A-Za-z0-9._-]+|\\[[0-9A-Fa-f:.]+\\]):([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;
    // Limits the log output for a list whose entries are all invalid.
    private static final int MAX_PROBLEMS = 10;

    private InstanceListCodec() {}

    /**
     * Encodes a list.
     *
     * @param list the list
     * @return JSON in UTF-8
     */
    public static byte[] encode(InstanceList list) {
        ObjectNode document = JSON.createObjectNode().put("version", list.version());
        ArrayNode instances = document.putArray("instances");
        for (InstanceEntry entry : list.entries()) {
            instances
                    .addObject()
                    .put("id", entry.id())
                    .put("kind", entry.kind().jsonName())
                    .put("address", entry.address())
                    .put("failureDomain", entry.failureDomain().value())
                    .put("state", entry.state().name());
        }
        return document.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a list.
     *
     * @param json JSON in UTF-8
     * @return the list, or its problems with their keys; decoding stops once 10 problems are found
     */
    public static Either<InvalidSettings, InstanceList> decode(byte[] json) {
        List<InvalidSetting> problems = new ArrayList<>();
        JsonNode document = parse(json, problems);
        JsonNode version = document.path("version");
        if (!version.isIntegralNumber() || !version.canConvertToLong() || version.asLong() < 0) {
            problems.add(new InvalidSetting("version", "expected a number of 0 or more"));
        }
        JsonNode instances = document.path("instances");
        if (!instances.isArray()) {
            problems.add(new InvalidSetting("instances", "expected an array"));
        }
        List<InstanceEntry> entries = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < instances.size() && problems.size() < MAX_PROBLEMS; i++) {
            String entryKey = "instances[" + i + "]";
            parseEntry(entryKey, instances.get(i), problems).ifPresent(entries::add);
            if (!ids.add(instances.get(i).path("id").asText())) {
                problems.add(new InvalidSetting(entryKey + ".id", "is listed twice"));
            }
        }
        return problems.isEmpty()
                ? Either.right(new InstanceList(version.asLong(), entries))
                : Either.left(new InvalidSettings(List.copyOf(problems)));
    }

    private static JsonNode parse(byte[] json, List<InvalidSetting> problems) {
        try {
            return JSON.readTree(json);
        } catch (IOException e) {
            problems.add(new InvalidSetting("document", "expected JSON"));
            return JSON.missingNode();
        }
    }

    private static Optional<InstanceEntry> parseEntry(
            String entryKey, JsonNode node, List<InvalidSetting> problems) {
        int problemCount = problems.size();
        String id = node.path("id").asText();
        String address = node.path("address").asText();
        if (InstanceId.parse(id).isLeft()) {
            problems.add(new InvalidSetting(entryKey + ".id", "'" + id + "' is not a valid name"));
        }
        if (!isAddress(address)) {
            problems.add(
                    new InvalidSetting(
                            entryKey + ".address", "'" + address + "' is not host:port"));
        }
        Either<?, FailureDomainId> domain =
                FailureDomainId.parse(node.path("failureDomain").asText());
        if (domain.isLeft()) {
            problems.add(new InvalidSetting(entryKey + ".failureDomain", "is not a valid name"));
        }
        Optional<InstanceKind> kind =
                parseConstant(InstanceKind.class, entryKey + ".kind", node.path("kind"), problems);
        Optional<InstanceState> state =
                parseConstant(
                        InstanceState.class, entryKey + ".state", node.path("state"), problems);
        if (problems.size() > problemCount) {
            return Optional.empty();
        }
        return Optional.of(
                new InstanceEntry(
                        id, kind.orElseThrow(), address, domain.get(), state.orElseThrow()));
    }

    private static boolean isAddress(String text) {
        var matcher = ADDRESS.matcher(text);
        return matcher.matches() && Integer.parseInt(matcher.group(1)) <= MAX_PORT;
    }

    private static <E extends Enum<E>> Optional<E> parseConstant(
            Class<E> type, String key, JsonNode node, List<InvalidSetting> problems) {
        try {
            return Optional.of(Enum.valueOf(type, node.asText().toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException e) {
            String accepted = List.of(type.getEnumConstants()).toString();
            problems.add(
                    new InvalidSetting(key, "'" + node.asText() + "' is not one of " + accepted));
            return Optional.empty();
        }
    }
}
