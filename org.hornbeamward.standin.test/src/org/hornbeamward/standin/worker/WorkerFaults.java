package org.hornbeamward.standin.worker;

import org.jspecify.annotations.Nullable;

/**
 * Faults of a stand-in worker, set by {@code POST /faults} with a JSON object of any of the fields
 * {@code {"worker":"w1","failStarts":true,"paused":true,"restart":true,"dropLinks":true,
 * "loseReports":true}}. Fields that are left out change nothing.
 *
 * @param worker id of the worker; all workers of the process if left out
 * @param failStarts true makes every start fail, false ends that
 * @param paused true stops replying and running tasks, false ends that
 * @param restart true ends all tasks and starts a new incarnation, once
 * @param dropLinks true closes the open links, once
 * @param loseReports true drops every {@code TaskReport}, false ends that
 */
public record WorkerFaults(
        @Nullable String worker,
        @Nullable Boolean failStarts,
        @Nullable Boolean paused,
        boolean restart,
        boolean dropLinks,
        @Nullable Boolean loseReports) {}
