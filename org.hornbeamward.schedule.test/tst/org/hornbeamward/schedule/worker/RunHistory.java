package org.hornbeamward.schedule.worker;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.standin.worker.WorkerEvent;
import org.hornbeamward.standin.worker.WorkerEvent.Kind;

/**
 * Checks the runs in the event records of the workers, converted to the common virtual clock of the
 * test.
 */
final class RunHistory {
    private record Run(String task, long token, String worker, long startMillis, long endMillis) {}

    private RunHistory() {}

    /** Fails if a task ran in two places at once or was started twice under one token. */
    static void check(List<FakeWorker> workers) {
        List<Run> runs = new ArrayList<>();
        workers.forEach(worker -> runs.addAll(runsOf(worker)));
        Set<Long> tokens = new HashSet<>();
        Map<String, List<Run>> byTask = new HashMap<>();
        for (Run run : runs) {
            assertTrue(tokens.add(run.token), "token started twice: " + run);
            for (Run other : byTask.computeIfAbsent(run.task, task -> new ArrayList<>())) {
                boolean disjoint =
                        run.endMillis <= other.startMillis || other.endMillis <= run.startMillis;
                assertTrue(disjoint, run + " overlaps " + other);
            }
            byTask.get(run.task).add(run);
        }
    }

    private static List<Run> runsOf(FakeWorker worker) {
        Map<Long, WorkerEvent> openRuns = new HashMap<>();
        List<Run> runs = new ArrayList<>();
        for (WorkerEvent event : worker.mEvents.all()) {
            long endMillis = event.monotonicMillis() - worker.mClockOffsetMillis;
            if (event.kind() == Kind.STARTED || event.kind() == Kind.RESUMED) {
                openRuns.put(event.token(), event);
            } else if (event.kind() == Kind.ENDED && openRuns.containsKey(event.token())) {
                runs.add(run(worker, openRuns.remove(event.token()), endMillis));
            } else if (event.kind() == Kind.RESTARTED) {
                openRuns.values().forEach(start -> runs.add(run(worker, start, endMillis)));
                openRuns.clear();
            }
        }
        openRuns.values().forEach(start -> runs.add(run(worker, start, Long.MAX_VALUE)));
        return runs;
    }

    private static Run run(FakeWorker worker, WorkerEvent start, long endMillis) {
        return new Run(
                start.task(),
                start.token(),
                start.worker(),
                start.monotonicMillis() - worker.mClockOffsetMillis,
                endMillis);
    }
}
