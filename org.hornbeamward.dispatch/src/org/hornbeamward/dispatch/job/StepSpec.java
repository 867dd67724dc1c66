package org.hornbeamward.dispatch.job;

import java.util.List;
import java.util.Optional;
import org.hornbeamward.lib.Resources;

/**
 * One step of a job: a number of identical tasks.
 *
 * @param taskCount number of tasks
 * @param size resources that each task requests
 * @param estimateMillis rough duration of a task, estimated by the job's author
 * @param dependencies numbers of the steps that must be completed first
 * @param checkpointing whether tasks save their progress
 * @param gang whether the tasks run only all at once
 * @param sameRack whether the tasks are slow unless they run on the same rack
 * @param requiredLabel label that the worker must have; empty for any worker
 * @param dataRack rack on which the tasks are fast; empty for any rack
 * @param maxPerWorker largest number of this step's tasks on one worker; 0 for no limit
 * @param speculative whether copies of a task may run at the same time
 * @param longRunning whether tasks run until the job is cancelled
 * @param image program that the tasks run; tasks of one image behave alike; empty if unknown
 * @param tailTargetMillis largest tail latency of the requests that the tasks serve; 0 for none
 * @param filler whether the tasks are best-effort: they reserve no processors and use only the
 *     processor time that other tasks leave unused
 * @param maxUnavailableCount largest number of tasks that the system itself may make unavailable at
 *     the same time; 0 for no guarantee
 */
public record StepSpec(
        int taskCount,
        Resources size,
        long estimateMillis,
        List<Integer> dependencies,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean longRunning,
        String image,
        long tailTargetMillis,
        boolean filler,
        int maxUnavailableCount) {

    /** Millicores in a core. */
    public static final double MILLICORES_PER_CORE = 1_000.0;

    /** Largest amount of one resource; far above any machine, so that no sum overflows. */
    private static final long MAX_AMOUNT = 1_000_000_000;

    /** Longest duration, about 30 years, so that no sum overflows. */
    private static final long MAX_DURATION_MILLIS = 1_000_000_000_000L;

    /** Copies the dependencies. */
    public StepSpec {
        dependencies = List.copyOf(dependencies);
    }

    /**
     * Returns why the step cannot be part of a job.
     *
     * @param number number of the step in its job from 0
     * @return the problem, or empty if the step is valid
     */
    Optional<String> problem(int number) {
        if (taskCount < 1 || taskCount > JobSpec.MAX_TASK_COUNT) {
            return Optional.of(
                    "count of step " + number + " is not between 1 and " + JobSpec.MAX_TASK_COUNT);
        }
        if (size.cpuMillicores() < 0 || size.memoryMib() < 0 || size.acceleratorCount() < 0) {
            return Optional.of("step " + number + " asks for a negative size");
        }
        if (size.cpuMillicores() > MAX_AMOUNT
                || size.memoryMib() > MAX_AMOUNT
                || size.acceleratorCount() > MAX_AMOUNT) {
            return Optional.of("step " + number + " asks for more than " + MAX_AMOUNT);
        }
        if (estimateMillis < 0
                || maxPerWorker < 0
                || tailTargetMillis < 0
                || maxUnavailableCount < 0) {
            return Optional.of("step " + number + " has a negative limit or duration");
        }
        if (estimateMillis > MAX_DURATION_MILLIS || tailTargetMillis > MAX_DURATION_MILLIS) {
            return Optional.of(
                    "a duration of step " + number + " exceeds " + MAX_DURATION_MILLIS + " ms");
        }
        for (int dependency : dependencies) {
            if (dependency < 0 || dependency >= number) {
                return Optional.of("depends_on of step " + number + " names no earlier step");
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the resources that a task reserves on a worker.
     *
     * @return the size, without processors for a filler
     */
    public Resources reservation() {
        return filler ? new Resources(0, size.memoryMib(), size.acceleratorCount()) : size;
    }

    /**
     * Returns the processors that a task requests.
     *
     * @return cores
     */
    public double cores() {
        return size.cpuMillicores() / MILLICORES_PER_CORE;
    }

    /**
     * Returns whether tasks have a tail latency target of their own.
     *
     * @return true for a serving step
     */
    public boolean serving() {
        return tailTargetMillis > 0;
    }
}
