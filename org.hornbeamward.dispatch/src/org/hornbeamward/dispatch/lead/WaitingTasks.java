package org.hornbeamward.dispatch.lead;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.Resources;

/**
 * Collects the tasks that a placement pass finds no worker for, and logs from time to time what
 * they wait for.
 */
final class WaitingTasks {
    /** Minimum time between two log lines about a kind of task. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private enum Kind {
        SHORT,
        LONG_RUNNING,
        FILLER
    }

    private final Map<Kind, Group> mGroups = new EnumMap<>(Kind.class);
    private final Map<Kind, Long> mLoggedMillis = new EnumMap<>(Kind.class);

    /** The waiting tasks of a kind. */
    private static final class Group {
        private final Task mFirst;
        private final long mFirstWaitedMillis;
        private int mStepCount;
        private int mTaskCount;

        private Group(Task first, long firstWaitedMillis) {
            mFirst = first;
            mFirstWaitedMillis = firstWaitedMillis;
        }
    }

    /**
     * Adds a task without a worker, and those behind it in its step.
     *
     * @param task first task of the step for which there is no worker
     * @param waitedMillis how long it has been waiting
     * @param filter which tasks of the step are being placed
     */
    void add(Task task, long waitedMillis, Predicate<Task> filter) {
        Group group =
                mGroups.computeIfAbsent(
                        kind(task.step.spec), kind -> new Group(task, waitedMillis));
        group.mStepCount++;
        for (int index = task.name.index(); index < task.step.tasks.length; index++) {
            group.mTaskCount += filter.test(task.step.tasks[index]) ? 1 : 0;
        }
    }

    private static Kind kind(StepSpec spec) {
        if (spec.filler()) {
            return Kind.FILLER;
        }
        return spec.longRunning() ? Kind.LONG_RUNNING : Kind.SHORT;
    }

    /**
     * Logs the tasks added since the last call, unless their kind has been logged recently, and
     * forgets them.
     *
     * @param nowMillis monotonic time
     * @param candidates supplies the usable workers, with the runs that the pass has added
     */
    void logIfDue(long nowMillis, Supplier<List<WorkerCandidate>> candidates) {
        mGroups.forEach(
                (kind, group) -> {
                    Long loggedMillis = mLoggedMillis.get(kind);
                    if (loggedMillis == null || nowMillis - loggedMillis >= LOG_INTERVAL_MILLIS) {
                        mLoggedMillis.put(kind, nowMillis);
                        log(kind, group, candidates.get());
                    }
                });
        mGroups.clear();
    }

    private static void log(Kind kind, Group group, List<WorkerCandidate> candidates) {
        Resources needed = group.mFirst.step.spec.size();
        Resources largest = Resources.NONE;
        int enoughCpuCount = 0;
        int enoughMemoryCount = 0;
        int suspectedCount = 0;
        long capacityMillicores = 0;
        long freeMillicores = 0;
        long longRunningMillicores = 0;
        for (WorkerCandidate candidate : candidates) {
            Resources free = candidate.free();
            largest = free.cpuMillicores() > largest.cpuMillicores() ? free : largest;
            enoughCpuCount += free.cpuMillicores() >= needed.cpuMillicores() ? 1 : 0;
            enoughMemoryCount += free.memoryMib() >= needed.memoryMib() ? 1 : 0;
            suspectedCount += candidate.suspicion() > 0 ? 1 : 0;
            capacityMillicores += candidate.entry().capacity().cpuMillicores();
            freeMillicores += free.cpuMillicores();
            longRunningMillicores += candidate.longRunningCpuMillicores();
        }
        LogEvent.TASKS_WAITING.log(
                group.mTaskCount,
                kind.name().toLowerCase(Locale.ROOT),
                group.mStepCount,
                group.mFirst.step.job.submission.job(),
                group.mFirstWaitedMillis,
                needed,
                largest,
                enoughCpuCount,
                candidates.size(),
                enoughMemoryCount,
                suspectedCount,
                capacityMillicores,
                freeMillicores,
                longRunningMillicores,
                capacityMillicores - freeMillicores - longRunningMillicores);
    }
}
