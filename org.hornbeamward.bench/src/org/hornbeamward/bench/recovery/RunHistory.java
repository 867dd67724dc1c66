package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hornbeamward.standin.worker.WorkerEvent;
import org.hornbeamward.standin.worker.WorkerEvent.Kind;

/** History of task runs, built from the events that the workers recorded. */
final class RunHistory {
    /**
     * One run of a task.
     *
     * @param checkpoint checkpoint from which the run started
     * @param outcome outcome of the run, empty while it runs
     * @param endMillis end of the run, {@link Long#MAX_VALUE} while it runs
     */
    record Run(
            String task,
            long token,
            String worker,
            long checkpoint,
            String outcome,
            long startMillis,
            long endMillis) {}

    private final Map<String, List<Run>> mRuns = new TreeMap<>();
    private final List<WorkerEvent> mLapses = new ArrayList<>();

    RunHistory(VirtualCluster cluster) {
        for (VirtualWorker worker : cluster.workers()) {
            Map<Long, WorkerEvent> open = new HashMap<>();
            for (WorkerEvent event : worker.mEvents.all()) {
                if (isStart(event)) {
                    open.put(event.token(), event);
                } else if (event.kind() == Kind.ENDED) {
                    WorkerEvent start = open.remove(event.token());
                    if (start != null) {
                        add(start, event.detail(), event.monotonicMillis());
                    }
                } else if (event.kind() == Kind.LEASE_LAPSED) {
                    mLapses.add(event);
                }
            }
            open.values().forEach(start -> add(start, "", worker.mDeadMillis));
        }
        mRuns.values().forEach(runs -> runs.sort((a, b) -> Long.compare(a.token, b.token)));
    }

    private void add(WorkerEvent start, String outcome, long endMillis) {
        mRuns.computeIfAbsent(start.task(), task -> new ArrayList<>())
                .add(
                        new Run(
                                start.task(),
                                start.token(),
                                start.worker(),
                                start.checkpoint(),
                                outcome,
                                start.monotonicMillis(),
                                endMillis));
    }

    static boolean isStart(WorkerEvent event) {
        return event.kind() == Kind.STARTED || event.kind() == Kind.RESUMED;
    }

    /** Returns the runs by task, in the order of their tokens. */
    Map<String, List<Run>> runs() {
        return mRuns;
    }

    int startCount() {
        return mRuns.values().stream().mapToInt(List::size).sum();
    }

    long leaseLapseCount(long sinceMillis) {
        return mLapses.stream().filter(e -> e.monotonicMillis() >= sinceMillis).count();
    }

    /** Counts pairs of runs of one task that overlap in time, and starts that share a token. */
    int overlapCount() {
        int overlaps = 0;
        for (List<Run> runs : mRuns.values()) {
            Set<Long> tokens = new HashSet<>();
            for (int index = 0; index < runs.size(); index++) {
                Run run = runs.get(index);
                overlaps += tokens.add(run.token) ? 0 : 1;
                for (Run other : runs.subList(0, index)) {
                    boolean disjoint =
                            run.endMillis <= other.startMillis
                                    || other.endMillis <= run.startMillis;
                    overlaps += disjoint ? 0 : 1;
                }
            }
        }
        return overlaps;
    }
}
