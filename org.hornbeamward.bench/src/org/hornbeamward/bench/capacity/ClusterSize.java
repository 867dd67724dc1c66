package org.hornbeamward.bench.capacity;

/**
 * Size of a measured cluster. Immutable.
 *
 * @param workerCount registered workers
 * @param serviceTaskCount placed tasks of services
 * @param batchTaskCount placed batch tasks
 * @param endedJobCount batch jobs that have finished
 * @param memberCount entry instances
 * @param endpointCount endpoints of services
 */
record ClusterSize(
        int workerCount,
        int serviceTaskCount,
        int batchTaskCount,
        int endedJobCount,
        int memberCount,
        int endpointCount) {
    /** The two-year target, with as many ended jobs as the state retains. */
    static final ClusterSize TARGET = new ClusterSize(530, 2_100, 14_000, 2_000, 9, 60);

    static final int TEAM_COUNT = 62;
    static final int DOMAIN_COUNT = 10;
    static final int REGION_COUNT = 3;
    static final int ACCELERATOR_COUNT = 850;

    /** Tasks of one batch job; an assumption, as the design gives no figure. */
    static final int TASKS_PER_BATCH_JOB = 20;

    static final int TASKS_PER_SERVICE = 7;

    ClusterSize withWorkers(int count) {
        return new ClusterSize(
                count, serviceTaskCount, batchTaskCount, endedJobCount, memberCount, endpointCount);
    }

    /** Returns this size with a share of the placed tasks. */
    ClusterSize withTasks(double share) {
        return new ClusterSize(
                workerCount,
                (int) (serviceTaskCount * share),
                (int) (batchTaskCount * share),
                endedJobCount,
                memberCount,
                endpointCount);
    }

    ClusterSize withEndedJobs(int count) {
        return new ClusterSize(
                workerCount, serviceTaskCount, batchTaskCount, count, memberCount, endpointCount);
    }

    ClusterSize withMembers(int count) {
        return new ClusterSize(
                workerCount, serviceTaskCount, batchTaskCount, endedJobCount, count, endpointCount);
    }

    ClusterSize withEndpoints(int count) {
        return new ClusterSize(
                workerCount, serviceTaskCount, batchTaskCount, endedJobCount, memberCount, count);
    }

    int taskCount() {
        return serviceTaskCount + batchTaskCount;
    }
}
