package org.hornbeamward.standin.worker;

import org.jspecify.annotations.Nullable;

/**
 * Faults of a stand-in worker as sent to {@code POST /faults}: a JSON object with any of the fields
 * {@code {"worker":"w1","failStarts":true,"paused":true,"restart":true,"dropLinks":true,
 * "loseReports":true}}. A field that is left out changes nothing.
 *
 * @param worker the worker; all workers of the process if left out
 * @param failStarts true makes every start fail, false ends that
 * @param paused true stops answering and running tasks, false runs on
 * @param restart true ends all tasks and begins a new incarnation, once
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
