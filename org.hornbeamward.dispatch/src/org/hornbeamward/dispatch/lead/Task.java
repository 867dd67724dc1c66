package org.hornbeamward.dispatch.lead;

import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/** A task of a step, and the state of its runs. */
final class Task {
    /** Largest number of moves of one task; each costs a stop, a start and the time to resume. */
    static final int MAX_MOVE_COUNT = 3;

    public final Step step;
    public final TaskName name;
    public boolean done;

    /** Number of failed runs; the first task of a gang counts those of the gang. */
    public int failureCount;

    /** The last failed run of a gang, kept by its first task; 0 if none has failed. */
    public int lastFailedAttempt;

    public int lastAttempt;

    /** The newest checkpoint, shared by the members of a gang. */
    public final Checkpoint checkpoint;

    /** Monotonic time before which the task must not be started again. */
    public long notBeforeMillis;

    /**
     * Monotonic time since which the task has been ready to start but had no worker; {@code
     * Long.MAX_VALUE} if it has not been.
     */
    public long waitingSinceMillis = Long.MAX_VALUE;

    /** Number of moves to another worker, away from serving tasks or from a slow worker. */
    public int moveCount;

    /** Worker on which a run failed last; null if none has failed. */
    public @Nullable WorkerId failedOn;

    /** The run that may be present on a worker; null if there is none. */
    public @Nullable Run run;

    Task(Step step, TaskName name, Checkpoint checkpoint) {
        this.step = step;
        this.name = name;
        this.checkpoint = checkpoint;
    }

    boolean waiting() {
        return !done && run == null;
    }

    /** Returns whether the task waits and has been ordered before. */
    boolean interrupted() {
        return waiting() && lastAttempt > 0;
    }
}
