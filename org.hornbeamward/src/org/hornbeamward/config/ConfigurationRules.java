package org.hornbeamward.config;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.lib.Resources;

/** Validates values and references between entries. */
final class ConfigurationRules {
    private ConfigurationRules() {}

    static List<InvalidSetting> check(Configuration configuration) {
        List<InvalidSetting> problems = new ArrayList<>();
        configuration.services().forEach((name, service) -> checkService(name, service, problems));
        configuration
                .teams()
                .forEach((team, config) -> checkTeam("team/" + team, config, problems));
        configuration
                .endpoints()
                .forEach(
                        (id, endpoint) ->
                                checkEndpoint("endpoint/" + id, endpoint, configuration, problems));
        return problems;
    }

    private static void checkService(
            String name, ServiceConfig service, List<InvalidSetting> problems) {
        String key = "service/" + name;
        if (service.agreedPeriodMillis() < 1) {
            problems.add(new InvalidSetting(key + ".agreedPeriodMillis", "must be 1 or more"));
        }
        if (service.requestTimeoutMillis() < service.agreedPeriodMillis()) {
            problems.add(
                    new InvalidSetting(
                            key + ".requestTimeoutMillis", "must be at least agreedPeriodMillis"));
        }
    }

    private static void checkTeam(String key, TeamConfig team, List<InvalidSetting> problems) {
        if (!(team.weight() > 0.0)) {
            problems.add(new InvalidSetting(key + ".weight", "must be above 0"));
        }
        Resources quota = team.quota();
        if (quota.cpuMillicores() < 0 || quota.memoryMib() < 0 || quota.acceleratorCount() < 0) {
            problems.add(new InvalidSetting(key + ".quota", "no part may be negative"));
        }
    }

    private static void checkEndpoint(
            String key,
            EndpointConfig endpoint,
            Configuration configuration,
            List<InvalidSetting> problems) {
        if (!configuration.services().containsKey(endpoint.service())) {
            problems.add(
                    new InvalidSetting(
                            key + ".service", "add service/" + endpoint.service() + " first"));
        }
        if (!configuration.domains().containsKey(endpoint.failureDomain())) {
            problems.add(
                    new InvalidSetting(
                            key + ".failureDomain",
                            "add domain/" + endpoint.failureDomain() + " first"));
        }
        if (endpoint.slotCount() < 1) {
            problems.add(new InvalidSetting(key + ".slotCount", "must be 1 or more"));
        }
        if (endpoint.connectionCount() < endpoint.slotCount()) {
            problems.add(
                    new InvalidSetting(key + ".connectionCount", "must be at least slotCount"));
        }
    }
}
