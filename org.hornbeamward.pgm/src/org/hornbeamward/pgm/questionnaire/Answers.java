package org.hornbeamward.pgm.questionnaire;

import java.util.List;

/** Checked answers with defaults filled in. The records follow {@link Sections}. */
record Answers(
        Deployment deployment,
        Network network,
        List<FailureDomain> failureDomains,
        List<WorkerGroup> workers,
        List<Team> teams,
        List<Service> services,
        List<BatchJob> batchJobs,
        List<EndpointGroup> endpoints) {

    /** The deployment. */
    record Deployment(String name, int quotaOvercommitPercent) {}

    /** The network. */
    record Network(double clientRoundTripMillis, double domainRoundTripMillis) {}

    /** A failure domain. */
    record FailureDomain(String name, String region) {}

    /** Equal workers. */
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

    /** Equal endpoints. */
    record EndpointGroup(
            String service,
            String failureDomain,
            int count,
            String firstAddress,
            String addressStep,
            int slotCount,
            int connectionCount) {}
}
