package org.hornbeamward.dispatch.lead;

import java.util.Arrays;
import org.hornbeamward.dispatch.decide.RunSpeed;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.TaskName;

/** A step of one occurrence of a job, with its tasks. */
final class Step {
    public final Job job;
    public final int occurrence;
    public final int number;
    public final StepSpec spec;
    public final Task[] tasks;
    public int doneCount;

    /**
     * Monotonic time since which there has been room twice for a task of the step, which is
     * long-running and waits, because the room is kept for short jobs; {@code Long.MAX_VALUE} if
     * there is none.
     */
    public long roomTwiceSinceMillis = Long.MAX_VALUE;

    /**
     * Duration of every task, measured or projected from its progress; 0 if it is not known. It is
     * not stored, so a new leader starts without it.
     */
    public final long[] projectedMillis;

    Step(Job job, int occurrence, int number) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        spec = job.submission.spec().steps().get(number);
        tasks = new Task[spec.taskCount()];
        projectedMillis = new long[tasks.length];
        Checkpoint shared = new Checkpoint();
        for (int index = 0; index < tasks.length; index++) {
            TaskName name = new TaskName(job.submission.job(), occurrence, number, index);
            tasks[index] = new Task(this, name, spec.gang() ? shared : new Checkpoint());
        }
    }

    /** Returns the usual duration of the other tasks of the step; 0 if it is not known. */
    long usualMillis(Task task) {
        long[] others = new long[projectedMillis.length];
        int count = 0;
        for (int index = 0; index < projectedMillis.length; index++) {
            if (index != task.name.index() && projectedMillis[index] > 0) {
                others[count++] = projectedMillis[index];
            }
        }
        return RunSpeed.usualMillis(Arrays.copyOf(others, count));
    }

    /**
     * Returns the estimated time until the step is done if no task has to wait.
     *
     * @param nowMillis monotonic time
     */
    long remainingMillis(long nowMillis) {
        long latestPlacedMillis = Long.MIN_VALUE;
        for (Task task : tasks) {
            Run run = task.run;
            if (task.waiting()) {
                return spec.estimateMillis();
            }
            if (!task.done && run != null) {
                latestPlacedMillis = Math.max(latestPlacedMillis, run.placedMillis);
            }
        }
        return latestPlacedMillis == Long.MIN_VALUE
                ? 0
                : Math.max(0, spec.estimateMillis() - (nowMillis - latestPlacedMillis));
    }

    /** Returns the task that counts the failed runs of a task: the first one of a gang. */
    Task failureCounter(Task task) {
        return spec.gang() ? tasks[0] : task;
    }

    boolean done() {
        return doneCount == tasks.length;
    }

    void markDone(Task task) {
        if (!task.done) {
            task.done = true;
            doneCount++;
        }
    }
}
