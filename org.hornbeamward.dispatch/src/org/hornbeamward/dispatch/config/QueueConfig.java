package org.hornbeamward.dispatch.config;

/**
 * A queue that callers submit jobs to.
 *
 * @param name name that stored submissions refer to
 * @param host host name that selects it
 * @param pathPrefix path prefix that selects it; the longest match wins
 * @param pool worker pool that runs its tasks
 * @param priority priority of its jobs; 0 comes first
 * @param attemptLimit number of failed runs of a task after which its job fails
 * @param slackFactor multiple of the length of a job's critical path that its objective allows
 * @param objectiveMillis time that its objective allows in addition
 * @param openToAll whether callers need no key of a client account
 * @param approvalRequired whether a policy service must approve the workers of each step
 * @param approvalValidMillis how long an approval is valid; 0 without a policy service
 */
public record QueueConfig(
        String name,
        String host,
        String pathPrefix,
        String pool,
        int priority,
        int attemptLimit,
        double slackFactor,
        long objectiveMillis,
        boolean openToAll,
        boolean approvalRequired,
        long approvalValidMillis) {}
