package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.hornbeamward.event.LogEvent;
import org.jspecify.annotations.Nullable;

/**
 * Measures and logs how long tasks that last are away after a run, and what they wait for. It takes
 * part in no decision. Runs on the loop.
 */
final class AwayTasks {
    /** Time away beyond which the return of a task is logged; a start takes 0.1 s by itself. */
    static final long LOGGED_AWAY_MILLIS = 1_000;

    /**
     * Time away beyond which a task is reported while it does not run. Callers count it as lost if
     * it does not run for 3 s though there is room, from 6 s after its last run.
     */
    static final long REPORTED_AWAY_MILLIS = 3_000;

    /** Largest number of returns that are logged a second; a lost domain has hundreds of tasks. */
    static final int MAX_RETURN_LINES_PER_SECOND = 10;

    /**
     * Largest number of tasks without a run that are compared with all workers in one look; with
     * 246 workers the comparison of one task takes about 20 microseconds.
     */
    static final int MAX_COMPARED_COUNT = 20;

    /** Minimum time between two looks at all long-running jobs, and between two lines. */
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    private final Loop mLoop;
    private final NodeMetrics mMetrics;
    private final JobTable mJobs;
    private final WorkerRegistry mWorkers;
    private final Scheduler mScheduler;
    private final AccountControl mAccounts;
    private long mCheckedMillis = Long.MIN_VALUE / 2;
    private long mReturnsSinceMillis = Long.MIN_VALUE / 2;
    private int mReturnLineCount;
    private int mOmittedCount;
    private long mLongestOmittedMillis;

    /**
     * Creates the measurement of one leader.
     *
     * @param loop event loop that provides the clocks
     * @param metrics receives the times away and the number of tasks away
     * @param jobs all jobs
     * @param workers all workers
     * @param scheduler tells which workers have room
     * @param accounts tells whether a client account is at its limit
     */
    AwayTasks(
            Loop loop,
            NodeMetrics metrics,
            JobTable jobs,
            WorkerRegistry workers,
            Scheduler scheduler,
            AccountControl accounts) {
        mLoop = loop;
        mMetrics = metrics;
        mJobs = jobs;
        mWorkers = workers;
        mScheduler = scheduler;
        mAccounts = accounts;
    }

    /** Begins the time away of the tasks that a former leader has left without a run. */
    void takenOver() {
        long now = mLoop.nowMillis();
        for (Job job : mJobs.all()) {
            if (isWatched(job) && job.phase != JobPhase.QUEUED) {
                job.forEachTask(
                        task -> {
                            if (isWatched(task) && task.waiting() && task.lastAttempt > 0) {
                                task.timeAway = new TimeAway(now, false, now);
                            }
                        });
            }
        }
    }

    /** Notes that a run is attached to its task. */
    void runPlaced(Run run) {
        TimeAway away = run.task.timeAway;
        if (away != null) {
            away.placed(mLoop.nowMillis());
        }
    }

    /** Notes, before it is detached, that a run is gone without a report of its end. */
    void runGone(Run run, String reason) {
        runGivenUp(run, reason, run.lastSeenMillis);
    }

    /**
     * Notes, before it is detached, that a worker has reported the end of a run. A run whose lease
     * has lapsed ended at an unknown time while its worker was cut off, and one of a former leader
     * may have ended under that leader.
     */
    void runEnded(Run run, EndKind kind) {
        boolean endedNow = kind != EndKind.LAPSED && run.state != Run.State.INHERITED;
        runGivenUp(run, "ended: " + kind, endedNow ? mLoop.nowMillis() : run.lastSeenMillis);
    }

    /** Notes, before it is detached, that a run may be present on a later incarnation. */
    void runMoved(Run run) {
        if (run.task.timeAway == null) {
            runGivenUp(run, "its worker has restarted", run.lastSeenMillis);
        }
    }

    private void runGivenUp(Run run, String reason, long seenMillis) {
        Task task = run.task;
        long now = mLoop.nowMillis();
        if (task.run != run || !isWatched(task)) {
            return;
        }
        TimeAway away = task.timeAway;
        if (away != null) {
            away.startFailed(reason, now);
        } else if (seenMillis != Run.NEVER) {
            task.timeAway = new TimeAway(seenMillis, true, now);
        } else if (isInheritedAtWork(run)) {
            task.timeAway = new TimeAway(run.placedMillis, false, now);
        }
    }

    /** Returns whether a former leader may have seen a run at work. */
    private static boolean isInheritedAtWork(Run run) {
        return run.state == Run.State.INHERITED && run.task.step.job.phase != JobPhase.QUEUED;
    }

    /** Notes that a worker has confirmed a run, and logs a long time away. */
    void runConfirmed(Run run) {
        Task task = run.task;
        TimeAway away = task.timeAway;
        if (away == null) {
            return;
        }
        task.timeAway = null;
        long now = mLoop.nowMillis();
        long awayMillis = now - away.sinceMillis;
        mMetrics.recordTimeAway(awayMillis, away.sinceKnown);
        if (awayMillis <= LOGGED_AWAY_MILLIS && away.sinceKnown) {
            return;
        }
        if (now - mReturnsSinceMillis >= CHECK_INTERVAL_MILLIS) {
            logOmitted();
            mReturnsSinceMillis = now;
            mReturnLineCount = 0;
        }
        if (mReturnLineCount >= MAX_RETURN_LINES_PER_SECOND) {
            mOmittedCount++;
            mLongestOmittedMillis = Math.max(mLongestOmittedMillis, awayMillis);
            return;
        }
        mReturnLineCount++;
        LogEvent.TASK_RETURNED.log(
                task.name,
                run.attempt,
                run.worker.id(),
                TimeAway.describe(away.sinceKnown, awayMillis),
                away.givenUpAfterMillis,
                away.waitedMillis,
                away.failedStartMillis,
                away.failedStartCount,
                away.lastFailure,
                away.stageMillis(now));
    }

    private void logOmitted() {
        if (mOmittedCount > 0) {
            LogEvent.RETURNS_OMITTED.log(mOmittedCount, mLongestOmittedMillis);
        }
        mOmittedCount = 0;
        mLongestOmittedMillis = 0;
    }

    /**
     * Counts the tasks that are away for long and logs them, at most once a second.
     *
     * @param unconfirmedMillis how long ago the store last confirmed the leader
     */
    void checkIfDue(long unconfirmedMillis) {
        long now = mLoop.nowMillis();
        if (now - mCheckedMillis < CHECK_INTERVAL_MILLIS) {
            return;
        }
        mCheckedMillis = now;
        if (now - mReturnsSinceMillis >= CHECK_INTERVAL_MILLIS) {
            logOmitted();
        }
        Count count = new Count();
        for (Job job : mJobs.active()) {
            if (isWatched(job)) {
                job.forEachTask(task -> count.add(task, now));
            }
        }
        mMetrics.setTasksAway(count.mTaskCount);
        Task longest = count.mLongest;
        if (longest != null) {
            log(count, longest, unconfirmedMillis);
        }
    }

    private void log(Count count, Task longest, long unconfirmedMillis) {
        long now = mLoop.nowMillis();
        Function<Task, Scheduler.Room> finder = mScheduler.roomFinder(mWorkers.all(), now);
        int withRoomCount = 0;
        String firstWithRoom = "none";
        for (Task task : count.mWithoutRun) {
            if (finder.apply(task).eligibleCount() > 0 && withRoomCount++ == 0) {
                firstWithRoom = task.name + " (" + describe(task, finder, now) + ")";
            }
        }
        LogEvent.TASKS_AWAY.log(
                count.mTaskCount,
                longest.name,
                TimeAway.describe(isSinceKnown(longest), now - count.mLongestSinceMillis),
                describe(longest, finder, now),
                count.mWithoutRun.size(),
                withRoomCount,
                firstWithRoom,
                unconfirmedMillis);
    }

    /** Ends the measurement; a leader that was deposed knows nothing of the tasks. */
    void close() {
        logOmitted();
        mMetrics.setTasksAway(0);
    }

    /** The tasks that are away for long, and the one away longest. */
    private static final class Count {
        private int mTaskCount;
        private @Nullable Task mLongest;
        private long mLongestSinceMillis = Long.MAX_VALUE;

        /** The first ones that have no run. */
        private final List<Task> mWithoutRun = new ArrayList<>();

        private void add(Task task, long nowMillis) {
            long sinceMillis = awaySinceMillis(task);
            if (sinceMillis >= nowMillis - REPORTED_AWAY_MILLIS) {
                return;
            }
            mTaskCount++;
            if (task.waiting() && mWithoutRun.size() < MAX_COMPARED_COUNT) {
                mWithoutRun.add(task);
            }
            if (sinceMillis < mLongestSinceMillis) {
                mLongest = task;
                mLongestSinceMillis = sinceMillis;
            }
        }
    }

    private static boolean isWatched(Job job) {
        return !job.terminal() && job.spec().longRunning();
    }

    private static boolean isWatched(Task task) {
        return task.step.spec.longRunning() && !task.done && !task.step.job.terminal();
    }

    /**
     * Returns the monotonic time since which a task is not known to be at work; {@code
     * Long.MAX_VALUE} if it is at work or has never been.
     */
    private static long awaySinceMillis(Task task) {
        TimeAway away = task.timeAway;
        Run run = task.run;
        if (!isWatched(task)) {
            return Long.MAX_VALUE;
        }
        if (away != null) {
            return away.sinceMillis;
        }
        if (run == null) {
            return Long.MAX_VALUE;
        }
        if (run.lastSeenMillis != Run.NEVER) {
            return run.worker.silent() ? run.lastSeenMillis : Long.MAX_VALUE;
        }
        return isInheritedAtWork(run) ? run.placedMillis : Long.MAX_VALUE;
    }

    private static boolean isSinceKnown(Task task) {
        TimeAway away = task.timeAway;
        Run run = task.run;
        return away != null ? away.sinceKnown : run != null && run.lastSeenMillis != Run.NEVER;
    }

    /** Describes what a task that is away waits for. */
    private String describe(Task task, Function<Task, Scheduler.Room> finder, long nowMillis) {
        Run run = task.run;
        TimeAway away = task.timeAway;
        String failures =
                away == null || away.failedStartCount == 0
                        ? ""
                        : "; starts that failed: "
                                + away.failedStartCount
                                + ", the last one: "
                                + away.lastFailure;
        return (run == null ? describeWait(task, finder, nowMillis) : describeRun(run, nowMillis))
                + failures;
    }

    private static String describeRun(Run run, long nowMillis) {
        WorkerSession worker = run.worker;
        String start =
                switch (run.state) {
                    case DECIDED -> "placed, and its order is not sent";
                    case ORDERED -> "its start order is not answered";
                    case UNKNOWN -> "its start is not resolved";
                    case INHERITED -> "its run is not confirmed";
                    case PRESENT -> "its run was present";
                };
        String text = start + " on worker " + worker.id();
        if (run.state != Run.State.PRESENT) {
            text += " for " + (nowMillis - run.placedMillis) + " ms";
        }
        if (worker.silent()) {
            text +=
                    ", which is silent and whose leases lapse in "
                            + worker.leaseLeftMillis()
                            + " ms ("
                            + (worker.isLeaseEndInherited()
                                    ? "a bound of an earlier leader or incarnation"
                                    : "granted by this leader")
                            + ")";
        }
        return text;
    }

    private String describeWait(Task task, Function<Task, Scheduler.Room> finder, long nowMillis) {
        Job job = task.step.job;
        if (job.queue == null) {
            return "its queue " + job.submission.queue() + " is not configured";
        }
        ClientAccount account = job.account;
        if (account != null && mAccounts.isAtLimit(account, task.step.spec.size())) {
            return "its client account " + account.name() + " is at its limit";
        }
        Scheduler.Room room = finder.apply(task);
        String workers =
                "room on " + room.eligibleCount() + " of " + room.usableCount() + " usable workers";
        if (task.step.spec.gang()) {
            return "waits with its gang; " + workers + " for one member";
        }
        if (!task.interrupted(nowMillis)) {
            return "kept behind other work, since it counts as interrupted only in "
                    + task.millisUntilInterrupted(nowMillis)
                    + " ms; "
                    + workers;
        }
        if (task.askedSinceMillis != Long.MAX_VALUE && room.eligibleCount() > 0) {
            return "waits for the answer of a worker; " + workers;
        }
        return (room.eligibleCount() == 0 ? "waits for a worker; " : "waits although there is ")
                + workers;
    }
}
