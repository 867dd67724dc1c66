package org.hornbeamward.dispatch.lead;

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

    Step(Job job, int occurrence, int number) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        spec = job.submission.spec().steps().get(number);
        tasks = new Task[spec.taskCount()];
        for (int index = 0; index < tasks.length; index++) {
            tasks[index] =
                    new Task(this, new TaskName(job.submission.job(), occurrence, number, index));
        }
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
