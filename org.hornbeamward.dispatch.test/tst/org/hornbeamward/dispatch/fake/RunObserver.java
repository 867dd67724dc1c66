package org.hornbeamward.dispatch.fake;

import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.jspecify.annotations.Nullable;

/** Observes the runs of all workers from the workers' side. */
public interface RunObserver {
    /**
     * A run starts.
     *
     * @param task its task
     * @param attempt its number
     * @param incarnation the worker and its incarnation
     * @param late whether the order was carried out late
     * @param orderMillis monotonic time at which the order was sent
     */
    void started(TaskName task, int attempt, String incarnation, boolean late, long orderMillis);

    /**
     * A run ends.
     *
     * @param task its task
     * @param attempt its number
     * @param incarnation the worker and its incarnation
     * @param kind how it ended; null if its worker crashed
     */
    void ended(TaskName task, int attempt, String incarnation, @Nullable EndKind kind);

    /**
     * The end of a run is acknowledged, and the lease has not lapsed since.
     *
     * @param task its task
     * @param attempt its number
     * @param incarnation the worker and its incarnation
     */
    void acknowledged(TaskName task, int attempt, String incarnation);
}
