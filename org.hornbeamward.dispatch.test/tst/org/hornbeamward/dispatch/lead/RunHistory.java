package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.hornbeamward.dispatch.fake.RunObserver;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.jspecify.annotations.Nullable;

/** All runs as the workers saw them, and the rules that they broke. */
final class RunHistory implements RunObserver {
    /** Number of failed ends after which a task must not be started again. */
    static final int ATTEMPT_LIMIT = 3;

    /** Longest time from a stored cancellation to the last start. */
    static final long CANCEL_MILLIS = 3_000;

    /** How long a run of a cancelled job may go on while all is calm. */
    static final long STOP_MILLIS = 4_400;

    /** Time from the end of its last run after which a task that lasts counts as away. */
    static final long AWAY_MILLIS = 6_000;

    /** How long such a task may stay away while there is room for it twice. */
    static final long ROOM_MILLIS = 3_000;

    /** How long it must have been calm when that time begins. */
    static final long CALM_BEFORE_MILLIS = 4_000;

    /** How long after its end a disruption of a leader, a link or the store counts. */
    static final long LINGER_MILLIS = 4_000;

    /** What broke. */
    enum Rule {
        TWO_RUNS_AT_ONCE,
        START_AFTER_DONE,
        START_AFTER_LAST_ATTEMPT,
        START_BEFORE_DEPENDENCY,
        START_AFTER_CANCELLATION,
        /** A run of a cancelled job went on, and all was calm. */
        RUN_AFTER_CANCELLATION,
        JOB_NOT_ENDED,
        JOB_FAILED_WITHOUT_CAUSE,
        TASK_NOT_RUNNING,
        /** A task that lasts was away for 9 s, with room for it twice, and all was calm. */
        TASK_AWAY,
        RUN_OF_ENDED_JOB
    }

    /** A broken rule. */
    record Violation(Rule rule, String detail) {}

    private static final class SeenRun {
        private final int mAttempt;
        private final String mIncarnation;
        private final long mStartMillis;
        private long mEndMillis = Long.MAX_VALUE;
        private @Nullable EndKind mKind;
        private boolean mAcknowledged;
        private boolean mReportedAsCancelled;

        SeenRun(int attempt, String incarnation, long startMillis) {
            mAttempt = attempt;
            mIncarnation = incarnation;
            mStartMillis = startMillis;
        }

        boolean counts(EndKind kind, long beforeMillis) {
            return mAcknowledged && mKind == kind && mEndMillis <= beforeMillis;
        }

        @Override
        public String toString() {
            return "attempt "
                    + mAttempt
                    + " on "
                    + mIncarnation
                    + " "
                    + mStartMillis
                    + " to "
                    + (mEndMillis == Long.MAX_VALUE ? "" : mEndMillis + " " + mKind)
                    + (mAcknowledged ? " acknowledged" : "");
        }
    }

    private final Loop mLoop;
    private final Runnable mBeforeStart;
    private final Map<TaskName, List<SeenRun>> mRuns = new LinkedHashMap<>();
    private final Map<JobId, List<StepSpec>> mJobs = new LinkedHashMap<>();
    private final Map<JobId, Long> mCancelledMillis = new HashMap<>();
    final List<Violation> mViolations = new ArrayList<>();

    /** Monotonic time since which there has been room twice for a task that is away. */
    private final Map<TaskName, Long> mRoomTwiceSinceMillis = new HashMap<>();

    /** Tasks whose present absence is already among the violations. */
    private final Set<TaskName> mReportedAway = new HashSet<>();

    /** Monotonic time since which there has been no disruption, or from which there is none. */
    private long mCalmSinceMillis;

    /** Monotonic time until which the leader or the store is disturbed, or was lately. */
    long mDisturbedUntilMillis;

    RunHistory(Loop loop, Runnable beforeStart) {
        mLoop = loop;
        mBeforeStart = beforeStart;
    }

    void submitted(JobId job, List<StepSpec> steps) {
        mJobs.put(job, steps);
    }

    void cancelled(JobId job) {
        mCancelledMillis.putIfAbsent(job, mLoop.nowMillis());
    }

    boolean isCancelled(JobId job) {
        return mCancelledMillis.containsKey(job);
    }

    /**
     * Notes a disruption that begins now.
     *
     * @param millis its duration
     */
    void disrupted(long millis) {
        mCalmSinceMillis = Math.max(mCalmSinceMillis, mLoop.nowMillis() + millis);
    }

    /**
     * Checks that no task of a long-running job stays away although there is room for it twice.
     *
     * @param roomTwice whether the workers that are up have room for two tasks of a size
     */
    void checkAway(Predicate<Resources> roomTwice) {
        mJobs.forEach(
                (job, steps) -> {
                    if (steps.get(0).longRunning() && !isCancelled(job)) {
                        Resources size = steps.get(0).size();
                        boolean room = roomTwice.test(size);
                        for (int index = 0; index < steps.get(0).taskCount(); index++) {
                            checkAway(new TaskName(job, 0, 0, index), room);
                        }
                    }
                });
    }

    /** Checks that no run of a cancelled job goes on although all is calm. */
    void checkCancelled() {
        long now = mLoop.nowMillis();
        long calmMillis = Math.max(mCalmSinceMillis, mDisturbedUntilMillis);
        mRuns.forEach(
                (task, runs) -> {
                    long cancelledMillis = mCancelledMillis.getOrDefault(task.job(), now);
                    for (SeenRun run : runs) {
                        long sinceMillis =
                                Math.max(Math.max(cancelledMillis, calmMillis), run.mStartMillis);
                        if (run.mEndMillis > now
                                && now - sinceMillis > STOP_MILLIS
                                && !run.mReportedAsCancelled) {
                            run.mReportedAsCancelled = true;
                            violate(
                                    Rule.RUN_AFTER_CANCELLATION,
                                    task + ": " + run + ", cancelled at " + cancelledMillis);
                        }
                    }
                });
    }

    private void checkAway(TaskName task, boolean roomTwice) {
        long now = mLoop.nowMillis();
        if (!roomTwice) {
            mRoomTwiceSinceMillis.remove(task);
        }
        long roomSinceMillis =
                roomTwice ? mRoomTwiceSinceMillis.computeIfAbsent(task, key -> now) : now;
        long endMillis = runs(task).stream().mapToLong(run -> run.mEndMillis).max().orElse(now);
        if (endMillis >= now) {
            mReportedAway.remove(task);
            return;
        }
        long sinceMillis =
                Math.max(
                        Math.max(endMillis + AWAY_MILLIS, mCalmSinceMillis + CALM_BEFORE_MILLIS),
                        roomSinceMillis);
        if (now - sinceMillis >= ROOM_MILLIS && mReportedAway.add(task)) {
            violate(
                    Rule.TASK_AWAY,
                    task
                            + " of "
                            + step(task).size()
                            + ", room since "
                            + roomSinceMillis
                            + ", calm since "
                            + mCalmSinceMillis
                            + ": "
                            + runs(task));
        }
    }

    private List<StepSpec> steps(JobId job) {
        return mJobs.getOrDefault(job, List.of());
    }

    StepSpec step(TaskName task) {
        return steps(task.job()).get(task.step());
    }

    private List<SeenRun> runs(TaskName task) {
        return mRuns.computeIfAbsent(task, key -> new ArrayList<>());
    }

    private void violate(Rule rule, String detail) {
        mViolations.add(new Violation(rule, "at " + mLoop.nowMillis() + ": " + detail));
    }

    @Override
    public void started(
            TaskName task, int attempt, String incarnation, boolean late, long orderMillis) {
        mBeforeStart.run();
        long now = mLoop.nowMillis();
        SeenRun started = new SeenRun(attempt, incarnation, now);
        boolean longRunning = step(task).longRunning();
        for (SeenRun run : runs(task)) {
            if (run.mEndMillis > now) {
                violate(Rule.TWO_RUNS_AT_ONCE, task + ": " + run + " and " + started);
            }
        }
        runs(task).add(started);
        checkAcknowledged(task);
        for (int dependency : step(task).dependencies()) {
            for (int index = 0; index < steps(task.job()).get(dependency).taskCount(); index++) {
                TaskName earlier = new TaskName(task.job(), 0, dependency, index);
                if (runs(earlier).stream().noneMatch(run -> run.mKind == EndKind.DONE)) {
                    violate(Rule.START_BEFORE_DEPENDENCY, task + " before " + earlier);
                }
            }
        }
        Long cancelledMillis = mCancelledMillis.get(task.job());
        if (cancelledMillis != null
                && !late
                && orderMillis > Math.max(cancelledMillis, mDisturbedUntilMillis) + CANCEL_MILLIS) {
            violate(
                    Rule.START_AFTER_CANCELLATION,
                    task + ": " + started + ", cancelled at " + cancelledMillis);
        }
    }

    /** Checks the starts that acknowledged ends forbid. */
    private void checkAcknowledged(TaskName task) {
        if (step(task).longRunning()) {
            return;
        }
        for (SeenRun started : runs(task)) {
            long startMillis = started.mStartMillis;
            List<SeenRun> earlier =
                    runs(task).stream()
                            .filter(run -> run != started && run.mStartMillis < startMillis)
                            .toList();
            if (earlier.stream().anyMatch(run -> run.counts(EndKind.DONE, startMillis))) {
                violate(Rule.START_AFTER_DONE, task + ": " + runs(task));
            }
            if (earlier.stream().filter(run -> run.counts(EndKind.FAILED, startMillis)).count()
                    >= ATTEMPT_LIMIT) {
                violate(Rule.START_AFTER_LAST_ATTEMPT, task + ": " + runs(task));
            }
        }
    }

    private SeenRun find(TaskName task, int attempt, String incarnation) {
        return runs(task).stream()
                .filter(run -> run.mAttempt == attempt && run.mIncarnation.equals(incarnation))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void ended(TaskName task, int attempt, String incarnation, @Nullable EndKind kind) {
        SeenRun run = find(task, attempt, incarnation);
        run.mEndMillis = mLoop.nowMillis();
        run.mKind = kind;
    }

    @Override
    public void acknowledged(TaskName task, int attempt, String incarnation) {
        find(task, attempt, incarnation).mAcknowledged = true;
        checkAcknowledged(task);
    }

    /** Checks that every task of the long-running jobs has run since a time. */
    void checkLongRunning(long sinceMillis) {
        mJobs.forEach(
                (job, steps) -> {
                    if (steps.get(0).longRunning() && !isCancelled(job)) {
                        for (int index = 0; index < steps.get(0).taskCount(); index++) {
                            TaskName task = new TaskName(job, 0, 0, index);
                            if (runs(task).stream().noneMatch(r -> r.mEndMillis > sinceMillis)) {
                                violate(Rule.TASK_NOT_RUNNING, task + ": " + runs(task));
                            }
                        }
                    }
                });
    }

    /**
     * Checks the runs of ended jobs and the phases of the others, some time after all faults.
     *
     * @param phases the phases as the leader reported them
     * @param room whether the workers that are left have room for tasks of a size
     */
    void checkEnd(Map<JobId, JobPhase> phases, Predicate<Resources> room) {
        mJobs.forEach(
                (job, steps) -> {
                    JobPhase phase = phases.get(job);
                    boolean longRunning = steps.get(0).longRunning();
                    boolean ended = phase != null && phase.terminal();
                    boolean waitsForRoom =
                            !isCancelled(job)
                                    && steps.stream().noneMatch(step -> room.test(step.size()));
                    if (!ended && !waitsForRoom && (isCancelled(job) || !longRunning)) {
                        violate(Rule.JOB_NOT_ENDED, job + " is " + phase);
                    }
                    if (phase == JobPhase.FAILED && !hasFailedTooOften(job)) {
                        violate(Rule.JOB_FAILED_WITHOUT_CAUSE, job.toString());
                    }
                    if (ended) {
                        mRuns.forEach(
                                (task, runs) -> {
                                    if (task.job().equals(job)
                                            && runs.stream()
                                                    .anyMatch(
                                                            r -> r.mEndMillis == Long.MAX_VALUE)) {
                                        violate(Rule.RUN_OF_ENDED_JOB, task + ": " + runs);
                                    }
                                });
                    }
                });
    }

    /** Returns whether no job is left that waits although there is room for it. */
    boolean allEnded(Map<JobId, JobPhase> phases, Predicate<Resources> room) {
        return mJobs.entrySet().stream()
                .allMatch(
                        entry -> {
                            JobPhase phase = phases.get(entry.getKey());
                            List<StepSpec> steps = entry.getValue();
                            return steps.get(0).longRunning()
                                    || (phase != null && phase.terminal())
                                    || steps.stream().noneMatch(s -> room.test(s.size()));
                        });
    }

    private boolean hasFailedTooOften(JobId job) {
        return mRuns.entrySet().stream()
                .filter(entry -> entry.getKey().job().equals(job))
                .anyMatch(
                        entry ->
                                entry.getValue().stream()
                                                .filter(run -> run.mKind == EndKind.FAILED)
                                                .count()
                                        >= ATTEMPT_LIMIT);
    }
}
