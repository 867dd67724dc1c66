package org.hornbeamward.pgm.questionnaire;

import static org.hornbeamward.pgm.questionnaire.Question.required;
import static org.hornbeamward.pgm.questionnaire.Question.withDefault;

import java.util.List;

/** Defines all questions, in the order in which they are asked. */
final class Sections {
    private static final AnswerCheck NAME = new AnswerCheck.Name();
    private static final AnswerCheck COUNT = new AnswerCheck.Whole(1, 10_000);
    private static final AnswerCheck MILLICORES = new AnswerCheck.Whole(1, 10_000_000);
    private static final AnswerCheck MEMORY_MIB = new AnswerCheck.Whole(1, 100_000_000);
    private static final AnswerCheck MEMORY_GIB = new AnswerCheck.Whole(1, 1_000_000);
    private static final AnswerCheck ACCELERATORS = new AnswerCheck.Whole(0, 1_000);
    private static final AnswerCheck MILLIS = new AnswerCheck.Whole(1, 600_000);
    private static final AnswerCheck ROUND_TRIP = new AnswerCheck.Decimal(0.0, 10_000.0);
    private static final AnswerCheck MINUTES = new AnswerCheck.Whole(0, 1_000_000);
    private static final AnswerCheck FLAG = new AnswerCheck.Flag();
    private static final AnswerCheck METHODS =
            new AnswerCheck.Choices(
                    List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"));

    /** The sections of an answers file. */
    static final List<Section> ALL =
            List.of(
                    new Section("deployment", "the deployment", false, 1, deployment()),
                    new Section("network", "the network", false, 1, network()),
                    new Section("failureDomains", "failure domain", true, 1, failureDomains()),
                    new Section("workers", "group of equal workers", true, 1, workers()),
                    new Section("teams", "team", true, 1, teams()),
                    new Section("services", "service", true, 0, services()),
                    new Section("batchJobs", "batch job", true, 0, batchJobs()),
                    new Section("endpoints", "group of equal endpoints", true, 0, endpoints()));

    private Sections() {}

    private static List<Question> deployment() {
        return List.of(
                required("name", "Name of the deployment", NAME),
                withDefault(
                        "quotaOvercommitPercent",
                        "Sum of all quotas, in percent of what the workers have",
                        new AnswerCheck.Whole(100, 1_000),
                        "100"));
    }

    private static List<Question> network() {
        return List.of(
                required(
                        "clientRoundTripMillis",
                        "Round trip between callers and entry instances, in ms",
                        ROUND_TRIP),
                required(
                        "domainRoundTripMillis",
                        "Round trip between two failure domains, in ms",
                        ROUND_TRIP));
    }

    private static List<Question> failureDomains() {
        return List.of(
                required("name", "Name of the failure domain", NAME),
                required("region", "Region that it lies in", NAME));
    }

    private static List<Question> workers() {
        return List.of(
                required("failureDomain", "Failure domain that they are in", NAME),
                required("count", "How many workers", COUNT),
                required("rackSize", "Workers in a rack", COUNT),
                required("cpuCount", "Processors of one worker", COUNT),
                required("memoryGib", "Memory of one worker, in GiB", MEMORY_GIB),
                withDefault("acceleratorCount", "Accelerators of one worker", ACCELERATORS, "0"));
    }

    private static List<Question> teams() {
        return List.of(
                required("name", "Name of the team", NAME),
                required(
                        "toleranceForDelay",
                        "How much delay its waiting work tolerates",
                        new AnswerCheck.Choice(List.of("none", "some", "much"))),
                required(
                        "quotaCpuCount",
                        "Most processors that its tasks may hold",
                        new AnswerCheck.Whole(1, 10_000_000)),
                required(
                        "quotaMemoryGib",
                        "Most memory that its tasks may hold, in GiB",
                        MEMORY_GIB),
                withDefault(
                        "quotaAcceleratorCount",
                        "Most accelerators that its tasks may hold",
                        new AnswerCheck.Whole(0, 1_000_000),
                        "0"));
    }

    private static List<Question> services() {
        return List.of(
                required("name", "Name of the service, the first part of its path", NAME),
                required("team", "Team that it belongs to", NAME),
                required("agreedPeriodMillis", "Period within which it answers, in ms", MILLIS),
                required("requestTimeoutMillis", "Longest time of a request, in ms", MILLIS),
                required(
                        "peakRequestsPerSecond",
                        "Requests per second at peak",
                        new AnswerCheck.Decimal(0.0, 1_000_000.0)),
                required(
                        "processingMillis",
                        "Usual time that an endpoint takes for one request, in ms",
                        new AnswerCheck.Decimal(0.0, 600_000.0)),
                required("idempotentMethods", "Methods that may be repeated", METHODS),
                required(
                        "taskCount",
                        "Tasks that run on workers (0 if all runs on the endpoints)",
                        new AnswerCheck.Whole(0, 10_000)),
                withDefault("cpuMillicores", "Processor of one task, in 1/1000", MILLICORES, "1"),
                withDefault("memoryMib", "Memory of one task, in MiB", MEMORY_MIB, "1"));
    }

    private static List<Question> batchJobs() {
        return List.of(
                required("name", "Name of the batch job", NAME),
                required("team", "Team that it belongs to", NAME),
                required("taskCount", "Tasks of one run", COUNT),
                required("cpuMillicores", "Processor of one task, in 1/1000", MILLICORES),
                required("memoryMib", "Memory of one task, in MiB", MEMORY_MIB),
                withDefault("acceleratorCount", "Accelerators of one task", ACCELERATORS, "0"),
                required("expectedRunMinutes", "Expected run time of a task, in min", MINUTES),
                required("checkpointable", "Can its tasks write checkpoints", FLAG),
                withDefault("deadlineMinutes", "Deadline, in min (0 for none)", MINUTES, "0"),
                withDefault("urgent", "Must it start within seconds", FLAG, "no"));
    }

    private static List<Question> endpoints() {
        return List.of(
                required("service", "Service that they answer for", NAME),
                required("failureDomain", "Failure domain that they are in", NAME),
                required("count", "How many endpoints", COUNT),
                required("firstAddress", "Address of the first one", new AnswerCheck.Address()),
                required(
                        "addressStep",
                        "What grows by one to the next address: last number of the host, or port",
                        new AnswerCheck.Choice(List.of("host", "port"))),
                required("slotCount", "Requests that one takes at once", COUNT),
                required("connectionCount", "Connections that one takes", COUNT));
    }
}
