package org.hornbeamward.pgm.questionnaire;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.pgm.settings.HostPort;

/** Finds answers that are valid individually but contradict each other. */
final class Contradictions {
    private static final double MILLIS_PER_SECOND = 1000.0;
    private static final int PERCENT = 100;
    private static final int MAX_LAST_OCTET = 254;
    private static final int MAX_PORT = 65_535;

    private final Answers mAnswers;
    private final List<InvalidSetting> mProblems = new ArrayList<>();
    private final Set<String> mDomains = new HashSet<>();
    private final Map<String, Resources> mQuotas = new TreeMap<>();
    private final Set<String> mServices = new HashSet<>();

    private Contradictions(Answers answers) {
        mAnswers = answers;
    }

    static List<InvalidSetting> find(Answers answers) {
        Contradictions contradictions = new Contradictions(answers);
        contradictions.checkNames();
        contradictions.checkWorkers();
        contradictions.checkQuotas();
        for (int index = 0; index < answers.services().size(); index++) {
            contradictions.checkService("services[" + index + "]", answers.services().get(index));
        }
        for (int index = 0; index < answers.batchJobs().size(); index++) {
            contradictions.checkBatch("batchJobs[" + index + "]", answers.batchJobs().get(index));
        }
        for (int index = 0; index < answers.endpoints().size(); index++) {
            contradictions.checkEndpoints(
                    "endpoints[" + index + "]", answers.endpoints().get(index));
        }
        contradictions.checkServicesFitWithDomainOut();
        return contradictions.mProblems;
    }

    private void checkNames() {
        for (int index = 0; index < mAnswers.failureDomains().size(); index++) {
            String name = mAnswers.failureDomains().get(index).name();
            requireUnique("failureDomains[" + index + "].name", mDomains.add(name));
        }
        for (int index = 0; index < mAnswers.teams().size(); index++) {
            Answers.Team team = mAnswers.teams().get(index);
            requireUnique(
                    "teams[" + index + "].name",
                    mQuotas.put(team.name(), Capacity.quota(team)) == null);
        }
        Set<String> jobs = new HashSet<>();
        for (int index = 0; index < mAnswers.services().size(); index++) {
            String name = mAnswers.services().get(index).name();
            requireUnique("services[" + index + "].name", mServices.add(name) && jobs.add(name));
        }
        for (int index = 0; index < mAnswers.batchJobs().size(); index++) {
            String name = mAnswers.batchJobs().get(index).name();
            requireUnique("batchJobs[" + index + "].name", jobs.add(name));
        }
    }

    private void checkWorkers() {
        for (int index = 0; index < mAnswers.workers().size(); index++) {
            String domain = mAnswers.workers().get(index).failureDomain();
            requireKnown("workers[" + index + "].failureDomain", mDomains.contains(domain), domain);
        }
    }

    private void checkQuotas() {
        Resources total = Capacity.total(mAnswers);
        for (int index = 0; index < mAnswers.teams().size(); index++) {
            Resources quota = Capacity.quota(mAnswers.teams().get(index));
            if (!quota.fitsIn(total)) {
                addProblem(
                        "teams[" + index + "].quotaCpuCount",
                        "the quota exceeds what all workers have ("
                                + describe(total)
                                + "); lower it or add workers");
            }
        }
        Resources sum = mQuotas.values().stream().reduce(Resources.NONE, Resources::plus);
        int percent = mAnswers.deployment().quotaOvercommitPercent();
        Resources allowed =
                new Resources(
                        total.cpuMillicores() * percent / PERCENT,
                        total.memoryMib() * percent / PERCENT,
                        total.acceleratorCount() * percent / PERCENT);
        if (!sum.fitsIn(allowed)) {
            addProblem(
                    "deployment.quotaOvercommitPercent",
                    "the quotas add up to "
                            + describe(sum)
                            + ", above "
                            + percent
                            + "% of what the workers have ("
                            + describe(total)
                            + "); lower quotas or raise the percentage");
        }
    }

    private void checkService(String path, Answers.Service service) {
        double shortestMillis =
                mAnswers.network().clientRoundTripMillis()
                        + mAnswers.network().domainRoundTripMillis()
                        + service.processingMillis();
        if (service.agreedPeriodMillis() <= shortestMillis) {
            addProblem(
                    path + ".agreedPeriodMillis",
                    String.format(
                            Locale.ROOT,
                            "must be above %.1f ms, the round trips plus processingMillis",
                            shortestMillis));
        }
        if (service.requestTimeoutMillis() < service.agreedPeriodMillis()) {
            addProblem(path + ".requestTimeoutMillis", "must be at least agreedPeriodMillis");
        }
        if (service.taskCount() > 0) {
            checkTask(path, service.team(), Capacity.ofTask(service), service.taskCount());
        } else {
            requireKnown(path + ".team", mQuotas.containsKey(service.team()), service.team());
        }
        checkSlots(path, service);
    }

    /**
     * Checks that the slots suffice at peak with the largest failure domain out. By Little's law,
     * the number of requests in progress is the arrival rate times the processing time.
     */
    private void checkSlots(String path, Answers.Service service) {
        Map<String, Integer> slots = new TreeMap<>();
        mAnswers.endpoints().stream()
                .filter(group -> group.service().equals(service.name()))
                .forEach(
                        group ->
                                slots.merge(
                                        group.failureDomain(),
                                        group.count() * group.slotCount(),
                                        Integer::sum));
        int total = slots.values().stream().mapToInt(Integer::intValue).sum();
        int largest = slots.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        int remaining = slots.size() < 2 ? total : total - largest;
        double inProgress =
                service.peakRequestsPerSecond() * service.processingMillis() / MILLIS_PER_SECOND;
        if (inProgress > remaining) {
            addProblem(
                    path + ".peakRequestsPerSecond",
                    String.format(
                            Locale.ROOT,
                            "%.1f requests are in progress at peak, but its endpoints have %d"
                                    + " slots with the largest failure domain out; add endpoints",
                            inProgress,
                            remaining));
        }
    }

    private void checkBatch(String path, Answers.BatchJob job) {
        checkTask(path, job.team(), Capacity.ofTask(job), 1);
        if (job.deadlineMinutes() > 0 && job.deadlineMinutes() < job.expectedRunMinutes()) {
            addProblem(path + ".deadlineMinutes", "must be at least expectedRunMinutes");
        }
    }

    private void checkTask(String path, String team, Resources need, int runningCount) {
        boolean fits =
                mAnswers.workers().stream().anyMatch(group -> need.fitsIn(Capacity.of(group)));
        if (!fits) {
            addProblem(
                    path + ".cpuMillicores",
                    "one task (" + describe(need) + ") is larger than every worker; declare less");
        }
        requireKnown(path + ".team", mQuotas.containsKey(team), team);
        Resources quota = mQuotas.get(team);
        if (quota != null && !need.times(runningCount).fitsIn(quota)) {
            addProblem(
                    path + ".taskCount",
                    runningCount
                            + " tasks that run at once need "
                            + describe(need.times(runningCount))
                            + ", above the quota of team "
                            + team
                            + " ("
                            + describe(quota)
                            + "); raise the quota or declare less");
        }
    }

    private void checkEndpoints(String path, Answers.EndpointGroup group) {
        requireKnown(path + ".service", mServices.contains(group.service()), group.service());
        requireKnown(
                path + ".failureDomain",
                mDomains.contains(group.failureDomain()),
                group.failureDomain());
        if (group.connectionCount() < group.slotCount()) {
            addProblem(path + ".connectionCount", "must be at least slotCount");
        }
        HostPort first = HostPort.parse(group.firstAddress()).get();
        boolean byPort = group.addressStep().equals("port");
        int last = group.count() - 1 + (byPort ? first.port() : EndpointAddresses.lastOctet(first));
        if (!byPort && EndpointAddresses.lastOctet(first) < 0) {
            addProblem(path + ".addressStep", "host needs an IPv4 address; use port");
        } else if (last > (byPort ? MAX_PORT : MAX_LAST_OCTET)) {
            addProblem(path + ".count", "the addresses run out; split the group");
        }
    }

    private void checkServicesFitWithDomainOut() {
        Resources remaining = Capacity.withoutLargestDomain(mAnswers);
        Resources need = Resources.NONE;
        for (Answers.Service service : mAnswers.services()) {
            need = need.plus(Capacity.ofTask(service).times(service.taskCount()));
        }
        if (!need.fitsIn(remaining)) {
            addProblem(
                    "workers",
                    "the tasks of all services need "
                            + describe(need)
                            + ", but with the largest failure domain out "
                            + describe(remaining)
                            + " are left; add workers or declare less");
        }
    }

    private void requireUnique(String path, boolean unique) {
        if (!unique) {
            addProblem(path, "is used twice; choose another name");
        }
    }

    private void requireKnown(String path, boolean known, String name) {
        if (!known) {
            addProblem(path, "'" + name + "' is not among the answers; add it or correct the name");
        }
    }

    private void addProblem(String path, String detail) {
        mProblems.add(new InvalidSetting(path, detail));
    }

    private static String describe(Resources resources) {
        return resources.cpuMillicores()
                + " millicores, "
                + resources.memoryMib()
                + " MiB, "
                + resources.acceleratorCount()
                + " accelerators";
    }
}
