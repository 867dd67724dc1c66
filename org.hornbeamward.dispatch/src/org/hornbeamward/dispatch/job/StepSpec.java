package org.hornbeamward.dispatch.job;

import java.util.List;
import org.hornbeamward.lib.Resources;

/**
 * One step of a job: a number of tasks that are alike.
 *
 * @param taskCount number of tasks
 * @param size what each task occupies
 * @param estimateMillis rough duration of a task, as its author sees it
 * @param dependencies numbers of the steps that must be done first
 * @param checkpointing whether tasks save their progress
 * @param gang whether the tasks work only all together
 * @param sameRack whether tasks are slow unless they share a rack
 * @param requiredLabel label that the worker must have; empty for any worker
 * @param dataRack rack on which the tasks are fast; empty for any rack
 * @param maxPerWorker largest number of this step's tasks on one worker; 0 for no limit
 * @param speculative whether copies of a task may run at the same time
 * @param longRunning whether tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike; empty if unknown
 * @param tailTargetMillis largest tail latency of the requests that the tasks serve; 0 for none
 * @param filler whether the tasks take only the processor time that others leave unused
 * @param mayMissCount tasks that may be unavailable at once by the system's doing; 0 for no promise
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
        int mayMissCount) {

    /** Millicores in a core. */
    public static final double MILLICORES_PER_CORE = 1_000.0;

    /** Copies the dependencies. */
    public StepSpec {
        dependencies = List.copyOf(dependencies);
    }

    /**
     * Returns what a task takes from a worker's capacity.
     *
     * @return the size, without processors for a filler
     */
    public Resources reservation() {
        return filler ? new Resources(0, size.memoryMib(), size.acceleratorCount()) : size;
    }

    /**
     * Returns the processors that a task asks for.
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
