package org.hornbeamward.dispatch.lead;

import java.util.function.Consumer;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.decide.JobOrder;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.jspecify.annotations.Nullable;

/** A job and the progress of its tasks. */
final class Job {
    public final Submission submission;

    /**
     * Configuration of its queue, from the newest configuration that contains the queue, or else
     * from the submission; null only if neither has it.
     */
    public @Nullable QueueConfig queue;

    /** Its client account, from the newest configuration that contains the account. */
    public @Nullable ClientAccount account;

    /** Whether the job lies beyond the share of its account, so that it goes behind others. */
    public boolean beyondShare;

    public JobPhase phase = JobPhase.QUEUED;

    /** Phase that is committed to the store; only this one is reported to callers. */
    public JobPhase committedPhase = JobPhase.QUEUED;

    /** Whether a task has ever been placed, which does not mean that a worker has started it. */
    public boolean placed;

    /** Number of runs that may be present on workers. */
    public int liveRunCount;

    /** Monotonic time at which this leader received the submission. */
    public long knownSinceMillis;

    /** Monotonic time at which the final phase was committed or loaded. */
    public long endedMillis;

    /** Tier of the job in the last placement pass, apart from its interrupted tasks. */
    public JobOrder.Tier tier = JobOrder.Tier.IN_TIME;

    private final Step[][] mSteps;

    Job(Submission submission, @Nullable QueueConfig queue) {
        this.submission = submission;
        this.queue = queue;
        mSteps = new Step[submission.spec().occurrenceCount()][];
    }

    JobSpec spec() {
        return submission.spec();
    }

    boolean terminal() {
        return phase.terminal();
    }

    /** Returns whether the job is long-running and none of its tasks has ever been placed. */
    boolean isNewAndLongRunning() {
        return !placed && !terminal() && spec().longRunning();
    }

    /** Returns the steps of an occurrence, which are created on first use. */
    Step[] steps(int occurrence) {
        Step[] steps = mSteps[occurrence];
        if (steps == null) {
            steps = new Step[spec().steps().size()];
            for (int number = 0; number < steps.length; number++) {
                steps[number] = new Step(this, occurrence, number);
            }
            mSteps[occurrence] = steps;
        }
        return steps;
    }

    /** Returns whether all tasks of all occurrences are done. */
    boolean allDone() {
        for (int occurrence = 0; occurrence < mSteps.length; occurrence++) {
            if (!occurrenceDone(occurrence)) {
                return false;
            }
        }
        return true;
    }

    private boolean occurrenceDone(int occurrence) {
        if (mSteps[occurrence] == null) {
            return false;
        }
        for (Step step : mSteps[occurrence]) {
            if (!step.done()) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the steps that a step depends on are done. */
    boolean dependenciesDone(Step step) {
        Step[] steps = steps(step.occurrence);
        for (int dependency : step.spec.dependencies()) {
            if (!steps[dependency].done()) {
                return false;
            }
        }
        return true;
    }

    /** Visits, in order, the tasks of all occurrences whose steps have been created. */
    void forEachTask(Consumer<Task> visitor) {
        for (Step[] steps : mSteps) {
            if (steps == null) {
                continue;
            }
            for (Step step : steps) {
                for (Task task : step.tasks) {
                    visitor.accept(task);
                }
            }
        }
    }

    /** Returns a task, or null if the job has no task with these numbers. */
    @Nullable Task task(int occurrence, int step, int index) {
        if (occurrence < 0 || occurrence >= mSteps.length || step < 0) {
            return null;
        }
        Step[] steps = steps(occurrence);
        if (step >= steps.length || index < 0 || index >= steps[step].tasks.length) {
            return null;
        }
        return steps[step].tasks[index];
    }
}
