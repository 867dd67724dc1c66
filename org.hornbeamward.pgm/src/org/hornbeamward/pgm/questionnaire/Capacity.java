package org.hornbeamward.pgm.questionnaire;

import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.lib.Resources;

/** Computes the resources of workers, quotas and tasks from the answers. */
final class Capacity {
    private static final int MILLICORES_PER_CPU = 1000;
    private static final int MIB_PER_GIB = 1024;

    private Capacity() {}

    static Resources of(Answers.WorkerGroup group) {
        return resources(group.cpuCount(), group.memoryGib(), group.acceleratorCount());
    }

    static Resources quota(Answers.Team team) {
        return resources(team.quotaCpuCount(), team.quotaMemoryGib(), team.quotaAcceleratorCount());
    }

    static Resources total(Answers answers) {
        return answers.workers().stream()
                .map(group -> of(group).times(group.count()))
                .reduce(Resources.NONE, Resources::plus);
    }

    /**
     * Returns the resources that remain when the failure domain with the most processors is out. A
     * single failure domain is not subtracted.
     */
    static Resources withoutLargestDomain(Answers answers) {
        Map<String, Resources> domains = new TreeMap<>();
        for (Answers.WorkerGroup group : answers.workers()) {
            domains.merge(group.failureDomain(), of(group).times(group.count()), Resources::plus);
        }
        Resources largest =
                domains.values().stream()
                        .max(java.util.Comparator.comparingLong(Resources::cpuMillicores))
                        .orElse(Resources.NONE);
        return domains.size() < 2 ? total(answers) : total(answers).minus(largest);
    }

    static Resources ofTask(Answers.Service service) {
        return new Resources(service.cpuMillicores(), service.memoryMib(), 0);
    }

    static Resources ofTask(Answers.BatchJob job) {
        return new Resources(job.cpuMillicores(), job.memoryMib(), job.acceleratorCount());
    }

    private static Resources resources(int cpuCount, long memoryGib, int acceleratorCount) {
        return new Resources(
                (long) cpuCount * MILLICORES_PER_CPU, memoryGib * MIB_PER_GIB, acceleratorCount);
    }
}
