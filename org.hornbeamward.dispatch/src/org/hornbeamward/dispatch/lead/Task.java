package org.hornbeamward.dispatch.lead;

import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/** A task of a step, and the state of its runs. */
final class Task {
    /** Largest number of moves of one task; each costs a stop, a start and the time to resume. */
    static final int MAX_MOVE_COUNT = 3;

    /**
     * Time for which a task that lasts may wait behind new work after its run has ended. Callers
     * count it as lost 9 s after its last run, and a leader that has just taken over may need 2 s
     * to start it.
     */
    private static final long URGENT_AWAY_MILLIS = 3_000;

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

    /**
     * Monotonic time at which the last run was last known to be at work; long ago if unknown. For a
     * task that never was, the time of its first start that did not succeed.
     */
    public long awaySinceMillis = Long.MIN_VALUE / 2;

    /**
     * Monotonic time since which room has been held for the task; {@code Long.MAX_VALUE} if none
     * is.
     */
    public long heldSinceMillis = Long.MAX_VALUE;

    /** Worker whose room is held for the task; null if there is none. */
    public @Nullable WorkerSession heldOn;

    /** Monotonic time from which the task is expected to fit on {@link #heldOn}. */
    public long heldFromMillis;

    /** Monotonic time at which a worker to hold was last looked for. */
    public long holdSearchedMillis = Long.MIN_VALUE / 2;

    /**
     * Monotonic time since which workers have been asked before one gets the task; {@code
     * Long.MAX_VALUE} if none has been.
     */
    public long askedSinceMillis = Long.MAX_VALUE;

    /** Number of moves to another worker, away from serving tasks or from a slow worker. */
    public int moveCount;

    /** Worker on which a run failed last; null if none has failed. */
    public @Nullable WorkerId failedOn;

    /**
     * Time for which the task has been away; null while it runs or if it has never been running.
     */
    public @Nullable TimeAway timeAway;

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

    /**
     * Returns whether the task has been running before and has now been away for so long that it
     * has to be started before new work.
     *
     * @param nowMillis monotonic time
     */
    boolean interrupted(long nowMillis) {
        return waiting() && lastAttempt > 0 && nowMillis - awaySinceMillis >= URGENT_AWAY_MILLIS;
    }

    /**
     * Returns the time until a waiting task that has been running before counts as interrupted.
     *
     * @param nowMillis monotonic time
     */
    long millisUntilInterrupted(long nowMillis) {
        return Math.max(0, awaySinceMillis + URGENT_AWAY_MILLIS - nowMillis);
    }
}
