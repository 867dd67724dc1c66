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

/** Checks the workers' own records, on the common time line of the test. */
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
                boolean apart =
                        run.endMillis <= other.startMillis || other.endMillis <= run.startMillis;
                assertTrue(apart, run + " overlaps " + other);
            }
            byTask.get(run.task).add(run);
        }
    }

    private static List<Run> runsOf(FakeWorker worker) {
        Map<Long, WorkerEvent> open = new HashMap<>();
        List<Run> runs = new ArrayList<>();
        for (WorkerEvent event : worker.mEvents.all()) {
            long endMillis = event.monotonicMillis() - worker.mClockOffsetMillis;
            if (event.kind() == Kind.STARTED || event.kind() == Kind.RESUMED) {
                open.put(event.token(), event);
            } else if (event.kind() == Kind.ENDED && open.containsKey(event.token())) {
                runs.add(run(worker, open.remove(event.token()), endMillis));
            } else if (event.kind() == Kind.RESTARTED) {
                open.values().forEach(start -> runs.add(run(worker, start, endMillis)));
                open.clear();
            }
        }
        open.values().forEach(start -> runs.add(run(worker, start, Long.MAX_VALUE)));
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
