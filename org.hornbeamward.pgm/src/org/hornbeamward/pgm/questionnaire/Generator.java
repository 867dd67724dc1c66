package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.config.PolicyConfig;
import org.hornbeamward.pgm.admin.JobSpecJson;

/** Generates configuration entries and jobs, deterministically from the answers. */
final class Generator {
    private static final long MILLIS_PER_MINUTE = 60_000;

    /** Weight of a team's waiting work by its tolerance for delay; each level halves the weight. */
    private static final Map<String, Double> WEIGHTS =
            Map.of("none", 4.0, "some", 2.0, "much", 1.0);

    private final Answers mAnswers;

    Generator(Answers answers) {
        mAnswers = answers;
    }

    /** Returns the configuration entries by key. */
    List<GeneratedEntry> entries() {
        Map<String, GeneratedEntry> entries = new TreeMap<>();
        List<GeneratedEntry> all = new ArrayList<>();
        for (int index = 0; index < mAnswers.failureDomains().size(); index++) {
            all.add(domain(index));
        }
        for (int index = 0; index < mAnswers.teams().size(); index++) {
            all.add(team(index));
        }
        for (int index = 0; index < mAnswers.services().size(); index++) {
            all.add(service(index));
        }
        addEndpoints(all);
        all.add(policy());
        all.forEach(entry -> entries.put(entry.key(), entry));
        return List.copyOf(entries.values());
    }

    /** Returns the jobs in the order of the answers, services first. */
    List<GeneratedEntry> jobs() {
        List<GeneratedEntry> jobs = new ArrayList<>();
        for (int index = 0; index < mAnswers.services().size(); index++) {
            if (mAnswers.services().get(index).taskCount() > 0) {
                jobs.add(serviceJob(index));
            }
        }
        for (int index = 0; index < mAnswers.batchJobs().size(); index++) {
            jobs.add(batchJob(index));
        }
        return jobs;
    }

    private GeneratedEntry domain(int index) {
        Answers.FailureDomain domain = mAnswers.failureDomains().get(index);
        GeneratedEntry entry = new GeneratedEntry("domain/" + domain.name());
        entry.value().put("region", domain.region());
        return entry.fromSameKeys("failureDomains[" + index + "]", "region");
    }

    private GeneratedEntry team(int index) {
        Answers.Team team = mAnswers.teams().get(index);
        String path = "teams[" + index + "]";
        GeneratedEntry entry = new GeneratedEntry("team/" + team.name());
        entry.value().put("weight", WEIGHTS.getOrDefault(team.toleranceForDelay(), 1.0));
        entry.value().set("quota", JobSpecJson.writeResources(Capacity.quota(team)));
        return entry.from("weight", path + ".toleranceForDelay")
                .from("quota.cpuMillicores", path + ".quotaCpuCount")
                .from("quota.memoryMib", path + ".quotaMemoryGib")
                .from("quota.acceleratorCount", path + ".quotaAcceleratorCount");
    }

    private GeneratedEntry service(int index) {
        Answers.Service service = mAnswers.services().get(index);
        GeneratedEntry entry = new GeneratedEntry("service/" + service.name());
        ObjectNode value = entry.value();
        value.put("agreedPeriodMillis", service.agreedPeriodMillis());
        value.put("requestTimeoutMillis", service.requestTimeoutMillis());
        ArrayNode methods = value.putArray("idempotentMethods");
        service.idempotentMethods().forEach(methods::add);
        return entry.fromSameKeys(
                "services[" + index + "]",
                "agreedPeriodMillis",
                "requestTimeoutMillis",
                "idempotentMethods");
    }

    private void addEndpoints(List<GeneratedEntry> entries) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int index = 0; index < mAnswers.endpoints().size(); index++) {
            Answers.EndpointGroup group = mAnswers.endpoints().get(index);
            String prefix = "endpoint/" + group.service() + "-" + group.failureDomain() + "-";
            for (int offset = 0; offset < group.count(); offset++) {
                int sequenceNumber = counts.merge(prefix, 1, Integer::sum);
                // Zero padding makes the key order match the order of the addresses.
                GeneratedEntry entry =
                        new GeneratedEntry(
                                prefix
                                        + String.format(
                                                java.util.Locale.ROOT, "%02d", sequenceNumber));
                entry.value()
                        .put("service", group.service())
                        .put("failureDomain", group.failureDomain())
                        .put("address", EndpointAddresses.of(group, offset).toString())
                        .put("slotCount", group.slotCount())
                        .put("connectionCount", group.connectionCount());
                String path = "endpoints[" + index + "]";
                entries.add(
                        entry.fromSameKeys(
                                        path,
                                        "service",
                                        "failureDomain",
                                        "slotCount",
                                        "connectionCount")
                                .from("address", path + ".firstAddress"));
            }
        }
    }

    private static GeneratedEntry policy() {
        GeneratedEntry entry = new GeneratedEntry("policy");
        entry.value().put("placementPolicy", PolicyConfig.DEFAULT.placementPolicy());
        return entry.from("placementPolicy", "the default, which no question asks for");
    }

    private GeneratedEntry serviceJob(int index) {
        Answers.Service service = mAnswers.services().get(index);
        String path = "services[" + index + "]";
        GeneratedEntry entry = new GeneratedEntry(service.name());
        ObjectNode value = entry.value();
        value.put("id", service.name());
        value.put("team", service.team());
        value.put("className", service.name());
        value.put("kind", "SERVICE");
        value.put("taskCount", service.taskCount());
        value.set("resources", JobSpecJson.writeResources(Capacity.ofTask(service)));
        value.put("agreedPeriodMillis", service.agreedPeriodMillis());
        return entry.from("id, className", path + ".name")
                .from("kind", "the section services")
                .from("resources", path + ".cpuMillicores and .memoryMib")
                .fromSameKeys(path, "team", "taskCount", "agreedPeriodMillis");
    }

    private GeneratedEntry batchJob(int index) {
        Answers.BatchJob job = mAnswers.batchJobs().get(index);
        String path = "batchJobs[" + index + "]";
        GeneratedEntry entry = new GeneratedEntry(job.name());
        ObjectNode value = entry.value();
        value.put("id", job.name());
        value.put("team", job.team());
        value.put("className", job.name());
        value.put("kind", "BATCH");
        value.put("taskCount", job.taskCount());
        value.set("resources", JobSpecJson.writeResources(Capacity.ofTask(job)));
        value.put("urgent", job.urgent());
        value.put("checkpointable", job.checkpointable());
        value.put("expectedRunMillis", job.expectedRunMinutes() * MILLIS_PER_MINUTE);
        return entry.from("id, className", path + ".name")
                .from("kind", "the section batchJobs")
                .from("resources", path + ".cpuMillicores, .memoryMib and .acceleratorCount")
                .fromSameKeys(path, "team", "taskCount", "urgent", "checkpointable")
                .from("expectedRunMillis", path + ".expectedRunMinutes");
    }
}
