package org.hornbeamward.dispatch.lead;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * Queues committed start orders and limits how many are in flight. Load pattern: hundreds of starts
 * at once after a system start or a change of leaders, on an instance with a third of a core. If
 * all are sent together, the leader's own CPU delays the answers beyond their timeout, and every
 * start without an answer is stopped and repeated.
 */
final class OrderQueue {
    /**
     * Largest number of starts in flight. The first calls of a process take up to 3 ms of a core
     * each, so this many are answered within half of the timeout of 0.9 s on 0.3 of a core.
     */
    static final int MAX_IN_FLIGHT_COUNT = 32;

    /**
     * Largest number of starts in flight per worker, so that a silent one cannot block the rest.
     */
    static final int MAX_IN_FLIGHT_PER_WORKER_COUNT = 4;

    /** Runs that resume long-running tasks; they go before the others, as in {@code JobOrder}. */
    private final Deque<Run> mWaitingToResume = new ArrayDeque<>();

    private final Deque<Run> mWaiting = new ArrayDeque<>();
    private final Map<WorkerId, Integer> mInFlightByWorker = new HashMap<>();
    private int mInFlightCount;

    void add(Iterable<Run> runs) {
        for (Run run : runs) {
            boolean resumes = run.task.step.spec.longRunning() && run.attempt > 1;
            (resumes ? mWaitingToResume : mWaiting).add(run);
        }
    }

    boolean isEmpty() {
        return mWaitingToResume.isEmpty() && mWaiting.isEmpty();
    }

    /** Returns the number of orders that are not sent yet. */
    int size() {
        return mWaitingToResume.size() + mWaiting.size();
    }

    /** Removes and returns the first run whose order may be sent now; null if there is none. */
    @Nullable Run take() {
        if (mInFlightCount >= MAX_IN_FLIGHT_COUNT) {
            return null;
        }
        Run resumed = takeFrom(mWaitingToResume);
        return resumed != null ? resumed : takeFrom(mWaiting);
    }

    private @Nullable Run takeFrom(Deque<Run> waiting) {
        for (Iterator<Run> runs = waiting.iterator(); runs.hasNext(); ) {
            Run run = runs.next();
            int inFlight = mInFlightByWorker.getOrDefault(run.worker.id(), 0);
            if (inFlight < MAX_IN_FLIGHT_PER_WORKER_COUNT) {
                runs.remove();
                return run;
            }
        }
        return null;
    }

    void sent(WorkerId worker) {
        mInFlightCount++;
        mInFlightByWorker.merge(worker, 1, Integer::sum);
    }

    void answered(WorkerId worker) {
        mInFlightCount--;
        mInFlightByWorker.computeIfPresent(worker, (id, count) -> count > 1 ? count - 1 : null);
    }
}
