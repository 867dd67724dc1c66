package org.hornbeamward.command;

import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TeamId;

/**
 * What a caller declares about a job.
 *
 * @param id name of the job, never used twice
 * @param team team whose quota it uses
 * @param className class of work, by which interference is learned
 * @param kind service or batch
 * @param taskCount number of equal tasks, 1 or more
 * @param resources declared need of one task
 * @param urgent true if it must start within the urgent bound
 * @param checkpointable true if its tasks can write checkpoints
 * @param expectedRunMillis declared run time of a batch task, 0 if unknown
 * @param agreedPeriodMillis period within which a service answers, 0 for batch
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
