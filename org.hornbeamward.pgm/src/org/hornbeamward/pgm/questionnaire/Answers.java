package org.hornbeamward.pgm.questionnaire;

import java.util.List;

/**
 * Validated answers with defaults filled in. The records mirror the questions in {@link Sections}.
 */
record Answers(
        Deployment deployment,
        Network network,
        List<FailureDomain> failureDomains,
        List<WorkerGroup> workers,
        List<Team> teams,
        List<Service> services,
        List<BatchJob> batchJobs,
        List<EndpointGroup> endpoints) {

    /** Settings of the whole deployment. */
    record Deployment(String name, int quotaOvercommitPercent) {}

    /** Round-trip times of the network. */
    record Network(double clientRoundTripMillis, double domainRoundTripMillis) {}

    /** A failure domain. */
    record FailureDomain(String name, String region) {}

    /** A group of identical workers in one failure domain. */
    record WorkerGroup(
            String failureDomain,
            int count,
            int rackSize,
            int cpuCount,
            long memoryGib,
            int acceleratorCount) {}

    /** A team. */
    record Team(
            String name,
            String toleranceForDelay,
            int quotaCpuCount,
            long quotaMemoryGib,
            int quotaAcceleratorCount) {}

    /** A service. */
    record Service(
            String name,
            String team,
            long agreedPeriodMillis,
            long requestTimeoutMillis,
            double peakRequestsPerSecond,
            double processingMillis,
            List<String> idempotentMethods,
            int taskCount,
            long cpuMillicores,
            long memoryMib) {}

    /** A batch job. */
    record BatchJob(
            String name,
            String team,
            int taskCount,
            long cpuMillicores,
            long memoryMib,
            int acceleratorCount,
            long expectedRunMinutes,
            boolean checkpointable,
            long deadlineMinutes,
            boolean urgent) {}

    /** A group of identical endpoints of one service in one failure domain. */
    record EndpointGroup(
            String service,
            String failureDomain,
            int count,
            String firstAddress,
            String addressStep,
            int slotCount,
            int connectionCount) {}
}
