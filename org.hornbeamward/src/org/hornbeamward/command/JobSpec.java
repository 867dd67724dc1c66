package org.hornbeamward.command;

import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TeamId;

/**
 * A job as declared by a caller.
 *
 * @param id name of the job, which cannot be reused
 * @param team team whose quota its tasks use
 * @param className workload class of its tasks; interference is learned per class
 * @param kind service or batch
 * @param taskCount number of identical tasks, 1 or more
 * @param resources declared resources of one task
 * @param urgent true if its tasks must start within the time limit for urgent jobs
 * @param checkpointable true if its tasks can write checkpoints
 * @param expectedRunMillis declared run time of one batch task, 0 if unknown
 * @param agreedPeriodMillis agreed period within which a service answers, 0 for batch
 */
public record JobSpec(
        JobId id,
        TeamId team,
        String className,
        JobKind kind,
        int taskCount,
        Resources resources,
        boolean urgent,
        boolean checkpointable,
        long expectedRunMillis,
        long agreedPeriodMillis) {}
