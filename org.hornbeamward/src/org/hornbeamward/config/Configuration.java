package org.hornbeamward.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.InvalidSettings;
import org.hornbeamward.errors.MalformedId;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.TeamId;

/**
 * The complete configuration as typed values. Immutable.
 *
 * @param services by name
 * @param teams by id
 * @param domains by id
 * @param endpoints by id
 * @param policy the placement policy
 */
public record Configuration(
        SortedMap<String, ServiceConfig> services,
        SortedMap<TeamId, TeamConfig> teams,
        SortedMap<FailureDomainId, DomainConfig> domains,
        SortedMap<EndpointId, EndpointConfig> endpoints,
        PolicyConfig policy) {
    /** The configuration without entries. */
    public static final Configuration EMPTY =
            new Configuration(
                    Collections.emptySortedMap(),
                    Collections.emptySortedMap(),
                    Collections.emptySortedMap(),
                    Collections.emptySortedMap(),
                    PolicyConfig.DEFAULT);

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    /**
     * Parses and validates all entries.
     *
     * @param entries JSON text by key
     * @return the configuration, or all problems, each with its key
     */
    public static Either<InvalidSettings, Configuration> parse(Map<String, String> entries) {
        List<InvalidSetting> problems = new ArrayList<>();
        SortedMap<String, ServiceConfig> services = new TreeMap<>();
        SortedMap<TeamId, TeamConfig> teams = new TreeMap<>();
        SortedMap<FailureDomainId, DomainConfig> domains = new TreeMap<>();
        SortedMap<EndpointId, EndpointConfig> endpoints = new TreeMap<>();
        PolicyConfig policy = PolicyConfig.DEFAULT;
        for (Map.Entry<String, String> entry : new TreeMap<>(entries).entrySet()) {
            String key = entry.getKey();
            String json = entry.getValue();
            String name = key.substring(key.indexOf('/') + 1);
            if (key.equals("policy")) {
                policy = readEntry(key, json, PolicyConfig.class, problems).getOrElse(policy);
            } else if (key.startsWith("service/")) {
                readNamedEntry(
                        key,
                        name,
                        Either::<MalformedId, String>right,
                        json,
                        ServiceConfig.class,
                        services,
                        problems);
            } else if (key.startsWith("team/")) {
                readNamedEntry(key, name, TeamId::parse, json, TeamConfig.class, teams, problems);
            } else if (key.startsWith("domain/")) {
                readNamedEntry(
                        key,
                        name,
                        FailureDomainId::parse,
                        json,
                        DomainConfig.class,
                        domains,
                        problems);
            } else if (key.startsWith("endpoint/")) {
                readNamedEntry(
                        key,
                        name,
                        EndpointId::parse,
                        json,
                        EndpointConfig.class,
                        endpoints,
                        problems);
            } else {
                problems.add(
                        new InvalidSetting(
                                key,
                                "unknown key; use policy or service/, team/, domain/,"
                                        + " endpoint/ with a name"));
            }
        }
        Configuration parsed =
                new Configuration(
                        Collections.unmodifiableSortedMap(services),
                        Collections.unmodifiableSortedMap(teams),
                        Collections.unmodifiableSortedMap(domains),
                        Collections.unmodifiableSortedMap(endpoints),
                        policy);
        problems.addAll(ConfigurationRules.check(parsed));
        return problems.isEmpty()
                ? Either.right(parsed)
                : Either.left(new InvalidSettings(List.copyOf(problems)));
    }

    private static <K, V> void readNamedEntry(
            String key,
            String name,
            Function<String, Either<MalformedId, K>> parseName,
            String json,
            Class<V> type,
            SortedMap<K, V> target,
            List<InvalidSetting> problems) {
        Either<MalformedId, K> id = parseName.apply(name);
        if (id.isLeft()) {
            problems.add(new InvalidSetting(key, id.getLeft().message()));
            return;
        }
        readEntry(key, json, type, problems).forEach(value -> target.put(id.get(), value));
    }

    private static <V> Option<V> readEntry(
            String key, String json, Class<V> type, List<InvalidSetting> problems) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return Option.of(MAPPER.treeToValue(node, type));
        } catch (JsonMappingException e) {
            StringBuilder path = new StringBuilder(key);
            e.getPath().forEach(step -> path.append('.').append(step.getFieldName()));
            problems.add(new InvalidSetting(path.toString(), firstLine(e)));
        } catch (JsonProcessingException e) {
            problems.add(new InvalidSetting(key, "not valid JSON: " + firstLine(e)));
        }
        return Option.none();
    }

    private static String firstLine(JsonProcessingException e) {
        return e.getOriginalMessage().lines().findFirst().orElse("unreadable");
    }
}
