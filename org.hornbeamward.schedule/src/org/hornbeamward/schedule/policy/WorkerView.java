package org.hornbeamward.schedule.policy;

import java.util.List;
import java.util.Map;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/** A policy's view of one worker, including decisions in flight. */
public interface WorkerView {
    /**
     * Returns the worker.
     *
     * @return its id
     */
    WorkerId worker();

    /**
     * Returns the total resources of the worker.
     *
     * @return its capacity
     */
    Resources capacity();

    /**
     * Returns the resources that may still be committed.
     *
     * @return capacity less declared sizes, decisions in flight and reservations; if the policy
     *     uses measurements, also less measured use above the declarations
     */
    Resources free();

    /**
     * Returns the tasks that hold resources on the worker, including decisions in flight.
     *
     * @return unmodifiable view
     */
    List<ResidentTask> tasks();

    /**
     * Returns the tasks by class, including decisions in flight.
     *
     * @return unmodifiable view from class to its load
     */
    Map<String, ClassLoad> loads();
}
