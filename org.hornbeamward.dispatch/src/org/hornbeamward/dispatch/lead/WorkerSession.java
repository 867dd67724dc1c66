package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hornbeamward.dispatch.decide.Neighbors;
import org.hornbeamward.dispatch.decide.RunSpeed;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.WorkerControl;
import org.hornbeamward.dispatch.port.WorkerControl.EndReport;
import org.hornbeamward.dispatch.port.WorkerControl.OrderOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.PollOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.RunReport;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * The leader's session with one incarnation of a worker: its runs, leases, polls and orders. A poll
 * renews the leases and lists runs and ends; one is in flight as long as a task runs or an end has
 * to be acknowledged. Runs on the loop.
 */
final class WorkerSession {
    /** How long a worker waits for a run to end before it answers a poll. */
    private static final long POLL_WAIT_MILLIS = 1_000;

    /**
     * Poll wait for a worker whose fillers may slow down serving tasks; each load report covers
     * half a second.
     */
    private static final long SHARED_POLL_WAIT_MILLIS = 500;

    /** Timeout of an answer beyond the wait; workers answer within a few milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 900;

    /** Delay before the next poll after a failed one, or while the state of a run is unknown. */
    private static final long POLL_RETRY_MILLIS = 150;

    /**
     * Poll interval while ends cannot be stored. Leases are still renewed, so that their full
     * length covers an outage of the store and a restart of the leader.
     */
    private static final long RENEWAL_INTERVAL_MILLIS = 500;

    /**
     * Interval of the polls of a silent worker without runs. It gets no new tasks before it answers
     * one; callers count a task as lost three seconds after a worker could run it.
     */
    private static final long SILENT_POLL_INTERVAL_MILLIS = 500;

    /**
     * Time after a poll answer within which no later incarnation of the worker can take calls,
     * since a process takes longer to start.
     */
    private static final long SAME_INCARNATION_MILLIS = 100;

    /** Delay before a poll that is sent only to acknowledge ends. */
    private static final long ACKNOWLEDGE_DELAY_MILLIS = 300;

    /** How long after it is sent, on the worker's clock, a start order may take effect. */
    private static final long ORDER_VALID_MILLIS = 2_000;

    /** Bound on the relative rate of two clocks; the platform allows a drift of 2%. */
    private static final double CLOCK_RATE_BOUND = 1.03;

    /** How much later than its deadline a worker may end a run whose lease has lapsed. */
    private static final long TIMER_DELAY_MILLIS = 50;

    /** How long a worker gets no new tasks after it rejected a start for lack of room. */
    private static final long NO_ROOM_PAUSE_MILLIS = 200;

    /** How long a worker gets no new tasks after it could not carry out a start order. */
    private static final long FAILED_START_PAUSE_MILLIS = 1_000;

    /** Number of failed polls in a row after which a worker gets no new tasks. */
    private static final int SILENT_POLL_COUNT = 1;

    /**
     * Interval at which the stored lease bound of a silent worker is brought up to date. A
     * successor waits longer by up to this time, since it does not know when the bound was written.
     */
    private static final long LEASE_BOUND_INTERVAL_MILLIS = 200;

    /** How long a worker is avoided after its runs were last seen to be slow. */
    private static final long SLOW_AVOIDED_MILLIS = 3_000;

    /**
     * How long after that a worker is used only if no other has room, unless a run has advanced at
     * the usual speed meanwhile.
     */
    private static final long SLOW_PROBATION_MILLIS = 12_000;

    /** Suspicion of a worker that was slow and has not proved to be healthy again. */
    private static final double PROBATION_SUSPICION = 0.25;

    /** How long the speed of a run counts after it was last observed. */
    private static final long SPEED_SAMPLE_MILLIS = 3_000;

    private static final long NEVER_SLOW = Long.MIN_VALUE / 2;

    /**
     * How long after a run was first seen its uncertain pace is set again; the processor of a new
     * leader has work of its own for the first seconds.
     */
    private static final long PACE_CONFIRMATION_DELAY_MILLIS = 3_000;

    /** Lowest pace at which a filler's CPU is counted, since a paused filler will resume later. */
    private static final int MIN_ASSUMED_PACE_PERCENT = 40;

    /** The relative speed of a run and the monotonic time of its observation. */
    private record SpeedSample(double speed, long atMillis) {}

    /** Receives the events of the worker. */
    interface Supervisor {
        /** Returns the fencing token that every order carries. */
        long fencingToken();

        /**
         * Returns the length in milliseconds of the lease to grant, or 0 if none may be granted.
         */
        long leaseMillis();

        /** Returns the length in milliseconds of the longest lease that workers accept. */
        long longestLeaseMillis();

        /** Returns the longest time in milliseconds that a worker takes to stop a run. */
        long stopTimeoutMillis();

        /** Returns whether orders may be sent. */
        boolean mayOrder();

        /** The worker reports a new end of a run; it is acknowledged after the next commit. */
        void runEnded(WorkerSession worker, EndReport end);

        /**
         * A run is certainly no longer present, or never started, and no end was reported.
         *
         * @param run the run
         * @param evidence what shows it
         * @param reason the evidence in words
         */
        void runGone(Run run, GoneEvidence evidence, String reason);

        /** A start order was answered or has timed out. */
        void startAnswered(WorkerSession worker, String outcome);

        /** The worker has confirmed that a run is present. */
        void runConfirmed(Run run);

        /** The worker reports a run that the leader does not know. */
        void unknownRun(WorkerSession worker, RunReport report);

        /** Returns the monitor of all calls to workers. */
        CallMonitor callMonitor();

        /** Requests a placement pass, since something has changed that may allow decisions. */
        void requestPass();

        /** The worker has seen a higher fencing token. */
        void fenced(WorkerSession worker);

        /** The lease bound of the worker has to be stored or removed. */
        void leaseBoundChanged();

        /** Another worker answers at the address of this one. */
        void addressTaken(WorkerSession worker);

        /**
         * A poll was answered by another incarnation of the worker.
         *
         * @param worker session with the earlier incarnation
         * @param startWallMillis start time of the incarnation that answered
         * @param clockMillis its monotonic clock
         */
        void restarted(WorkerSession worker, long startWallMillis, long clockMillis);

        /** A poll has updated the reported state of the runs. */
        void polled(WorkerSession worker);
    }

    private final Loop mLoop;
    private final WorkerControl mControl;
    private final Supervisor mSupervisor;
    private final WorkerId mId;
    private final long mIncarnationStartWallMillis;
    private final Map<TaskName, Run> mRuns = new LinkedHashMap<>();
    private WorkerEntry mEntry;
    private final Usage mUsage = new Usage();

    /** Whether the worker has an entry in the store at present. */
    public boolean listed;

    /** Monotonic time until which the worker gets no new tasks. */
    public long noNewTasksUntilMillis;

    /** Number of failed runs since the last completed one. */
    public int failureStreak;

    /**
     * The tasks that share the worker, as of the last change or report; null if they have to be
     * determined anew. Each pass compares each filler with all workers.
     */
    private @Nullable Neighbors mNeighbors;

    /** CPU that the fillers request at their present paces; negative if it has to be summed up. */
    private long mPacedFillerCpuMillicores = -1;

    private final Map<TaskName, SpeedSample> mSpeeds = new LinkedHashMap<>();
    private long mSlowMillis = NEVER_SLOW;
    private boolean mClosed;
    private boolean mPollInFlight;
    private boolean mAcknowledgePollScheduled;
    private int mFailedPollCount;
    private long mPollSentMillis = Long.MIN_VALUE / 2;

    /** Monotonic time at which a poll was last answered. */
    private long mAnsweredMillis = Long.MIN_VALUE / 2;

    /** Whether the last answer listed only a part of the ends or runs. */
    private boolean mListTruncated;

    private long mSeenEndNumber;
    private long mStoredEndNumber;
    private long mAcknowledgedEndNumber;

    /** The last reading of the worker's clock, and the monotonic time at which it was received. */
    private long mClockReadingMillis;

    private long mClockReadAtMillis;

    /** Time on the worker's clock until which the orders and polls that it may have got lease. */
    private long mLeaseDeadlineClockMillis;

    /** Monotonic time at which the last call was sent that the worker may have got a lease by. */
    private long mLeaseSentMillis = Long.MIN_VALUE / 2;

    /** Time on the worker's clock until which the poll in flight leases; 0 for none. */
    private long mOfferedLeaseClockMillis;

    /** Monotonic time until which leases that were granted in other sessions may last. */
    private long mInheritedLeaseEndMillis;

    /** Longest lease that a worker may have been granted in another session. */
    private long mInheritedLeaseMillis;

    /**
     * Whether the leases that were granted in other sessions had deadlines on the clock of another
     * incarnation.
     */
    private boolean mInheritsOtherClock;

    /** Whether a lease bound may be stored, so that no lease may be renewed. */
    private boolean mLeaseBoundStored;

    private long mLeaseBoundMillis = Long.MIN_VALUE / 2;

    /** Whether a poll has been answered. */
    private boolean mReached;

    /** Monotonic time at which a poll was first answered. */
    private long mReachedMillis = Long.MAX_VALUE;

    /** Whether a decision waits for the answer to a poll. */
    private boolean mAsked;

    WorkerSession(Loop loop, WorkerControl control, Supervisor supervisor, WorkerEntry entry) {
        mLoop = loop;
        mControl = control;
        mSupervisor = supervisor;
        mEntry = entry;
        mId = entry.id();
        mIncarnationStartWallMillis = entry.incarnationStartWallMillis();
        mClockReadingMillis = entry.clockMillis();
        mClockReadAtMillis = loop.nowMillis();
    }

    WorkerId id() {
        return mId;
    }

    long incarnationStartWallMillis() {
        return mIncarnationStartWallMillis;
    }

    WorkerEntry entry() {
        return mEntry;
    }

    /**
     * Replaces the entry by a later one of the same incarnation. Its clock is an earlier value of
     * the worker's clock, so it may raise the lower bound for the clock, but never lowers it.
     */
    void update(WorkerEntry entry) {
        mEntry = entry;
        if (mIncarnationStartWallMillis != 0 && entry.clockMillis() > clockNowMillis()) {
            noteClock(entry.clockMillis());
        }
    }

    Resources free() {
        return mEntry.capacity().minus(mUsage.reserved());
    }

    /**
     * Returns the tasks that share the worker, for the decision to place another one there.
     *
     * @param controller knows how the tasks affect each other
     */
    Neighbors neighbors(FillerController controller) {
        Neighbors neighbors = mNeighbors;
        if (neighbors == null) {
            neighbors = controller.neighbors(mRuns.values());
            mNeighbors = neighbors;
        }
        return neighbors;
    }

    private void runsChanged() {
        mNeighbors = null;
        mPacedFillerCpuMillicores = -1;
    }

    /** Returns the CPU that the fillers request at their present paces. */
    long pacedFillerCpuMillicores() {
        if (mPacedFillerCpuMillicores < 0) {
            mPacedFillerCpuMillicores = sumPacedFillerCpuMillicores();
        }
        return mPacedFillerCpuMillicores;
    }

    private long sumPacedFillerCpuMillicores() {
        long millicores = 0;
        for (Run run : mRuns.values()) {
            StepSpec spec = run.task.step.spec;
            if (spec.filler()) {
                int percent = Math.max(run.pacePercent, MIN_ASSUMED_PACE_PERCENT);
                millicores += spec.size().cpuMillicores() * percent / 100;
            }
        }
        return millicores;
    }

    long longRunningCpuMillicores() {
        return mUsage.longRunningCpuMillicores();
    }

    /** Returns how strongly the worker is suspected: 0 for a healthy one, 1 for one to avoid. */
    double suspicion() {
        return Math.max(Math.min(1.0, failureStreak / 4.0), slowness());
    }

    private double slowness() {
        long sinceMillis = mLoop.nowMillis() - mSlowMillis;
        if (sinceMillis < SLOW_AVOIDED_MILLIS) {
            return 1.0;
        }
        return sinceMillis < SLOW_PROBATION_MILLIS ? PROBATION_SUSPICION : 0;
    }

    /**
     * Notes the speed of a run on this worker, relative to the other runs of its step, and updates
     * whether the worker is slow.
     */
    void noteSpeed(Run run, double relativeSpeed) {
        long now = mLoop.nowMillis();
        mSpeeds.put(run.task.name, new SpeedSample(relativeSpeed, now));
        mSpeeds.values().removeIf(sample -> now - sample.atMillis() > SPEED_SAMPLE_MILLIS);
        if (RunSpeed.isSlowWorker(mSpeeds.values().stream().map(SpeedSample::speed).toList())) {
            mSlowMillis = now;
        } else if (RunSpeed.isNormal(relativeSpeed) && now - mSlowMillis >= SLOW_AVOIDED_MILLIS) {
            mSlowMillis = NEVER_SLOW;
        }
    }

    /** Returns whether runs on this worker advance much more slowly than elsewhere. */
    boolean isSlow() {
        return mLoop.nowMillis() - mSlowMillis < SLOW_AVOIDED_MILLIS;
    }

    /** Describes the recent relative speeds of runs. */
    String describeSpeeds() {
        return mSpeeds.values().stream()
                .map(sample -> String.format(Locale.ROOT, "%.2f", sample.speed()))
                .collect(Collectors.joining(" "));
    }

    Collection<Run> runs() {
        return mRuns.values();
    }

    boolean usable() {
        return listed
                && !mClosed
                && !mEntry.draining()
                && mFailedPollCount < SILENT_POLL_COUNT
                && mLoop.nowMillis() >= noNewTasksUntilMillis;
    }

    /** Describes the session in one line. */
    String describe() {
        return "worker "
                + mId
                + " listed="
                + listed
                + " draining="
                + mEntry.draining()
                + " usable="
                + usable()
                + " failedLooks="
                + mFailedPollCount
                + " failureStreak="
                + failureStreak
                + " slow="
                + isSlow()
                + " free="
                + free()
                + " runs="
                + mRuns.values();
    }

    /**
     * Sets how long leases may last that were granted in other sessions.
     *
     * @param grantedUntilMillis monotonic time after which none was granted
     * @param longestMillis longest lease that can have been granted
     */
    void inheritLeases(long grantedUntilMillis, long longestMillis) {
        mInheritedLeaseEndMillis = grantedUntilMillis + toOwnClock(longestMillis);
        mInheritedLeaseMillis = longestMillis;
    }

    /**
     * Sets that the worker may hold its longest lease, since it has restarted: a deadline on the
     * clock of another incarnation may lie far ahead on its own.
     *
     * @param grantedUntilMillis monotonic time after which none was granted
     * @param longestMillis longest lease that the worker grants
     */
    void inheritLongestLease(long grantedUntilMillis, long longestMillis) {
        inheritLeases(grantedUntilMillis, longestMillis);
        mInheritsOtherClock = true;
    }

    /**
     * Returns whether the worker may hold its longest lease since it has restarted, so that a
     * successor has to count with it too.
     */
    boolean mayHoldLongestLease() {
        return mInheritsOtherClock && mLoop.nowMillis() <= mInheritedLeaseEndMillis;
    }

    /**
     * Lowers the time until which leases that were granted by a previous leader may last.
     *
     * @param grantedUntilMillis monotonic time after which none was granted
     */
    void boundInheritedLeases(long grantedUntilMillis) {
        mInheritedLeaseEndMillis =
                Math.min(
                        mInheritedLeaseEndMillis,
                        grantedUntilMillis + toOwnClock(mInheritedLeaseMillis));
    }

    /** Adds a run and reserves its resources. */
    void add(Run run) {
        mRuns.put(run.task.name, run);
        mUsage.add(run);
        runsChanged();
    }

    /**
     * Takes over a run that the worker has listed although it was not known, and stops it.
     *
     * @param run a run that has been added
     */
    void adopt(Run run) {
        run.state = Run.State.PRESENT;
        run.listed = true;
        run.confirmedMillis = mLoop.nowMillis();
        run.lastSeenMillis = run.confirmedMillis;
        stop(run);
    }

    /** Removes a run that is gone and releases its resources. */
    void remove(Run run) {
        if (mRuns.remove(run.task.name, run)) {
            mUsage.remove(run);
            runsChanged();
        }
    }

    /** Closes the session; later answers are ignored and no polls are sent. */
    void close() {
        mClosed = true;
    }

    /** Sends the order to start a run whose placement is committed. */
    void start(Run run) {
        long deadlineClockMillis = clockNowMillis() + ORDER_VALID_MILLIS;
        mLeaseDeadlineClockMillis = Math.max(mLeaseDeadlineClockMillis, deadlineClockMillis);
        long sentMillis = mLoop.nowMillis();
        mLeaseSentMillis = sentMillis;
        run.orderSentMillis = sentMillis;
        run.state = Run.State.ORDERED;
        // A poll in flight would fail when the worker ends.
        run.orderedWithoutContact = !mPollInFlight && !hasJustAnswered();
        run.orderExpiresAtMillis = passedAtMillis(deadlineClockMillis);
        WorkerControl.StartOrder order =
                new WorkerControl.StartOrder(
                        run.task.name,
                        run.attempt,
                        run.task.step.job.spec().payload(),
                        deadlineClockMillis,
                        mSupervisor.fencingToken(),
                        run.checkpoint,
                        run.ticket);
        guarded(
                        () -> mControl.start(mEntry, order, ANSWER_TIMEOUT_MILLIS),
                        0,
                        OrderOutcome.Unknown::new)
                .thenAccept(outcome -> startAnswered(run, outcome, sentMillis));
    }

    /**
     * Sends a call; an unexpected error counts as a call without an answer. Otherwise the run or
     * the poll would stay in flight for ever.
     */
    private <T> CompletableFuture<T> guarded(
            Supplier<CompletableFuture<T>> call, long waitMillis, Function<String, T> failure) {
        long sentMillis = mLoop.nowMillis();
        CallMonitor monitor = mSupervisor.callMonitor();
        monitor.sent();
        CompletableFuture<T> answer;
        try {
            answer = call.get();
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionally(
                        error -> {
                            LogEvent.DUTY_FAILED.log(error, "call to worker " + mId);
                            return failure.apply(error.toString());
                        })
                .thenApply(
                        outcome -> {
                            monitor.ended(sentMillis, waitMillis, isAnswer(outcome));
                            return outcome;
                        });
    }

    private static boolean isAnswer(Object outcome) {
        return !(outcome instanceof OrderOutcome.Unknown
                || outcome instanceof OrderOutcome.NotDone
                || outcome instanceof PollOutcome.NotSent
                || outcome instanceof PollOutcome.Failed);
    }

    private void startAnswered(Run run, OrderOutcome outcome, long sentMillis) {
        mSupervisor.startAnswered(this, outcome.getClass().getSimpleName());
        if (mClosed || mRuns.get(run.task.name) != run) {
            return;
        }
        switch (outcome) {
            case OrderOutcome.Done done -> {
                noteClock(done.clockMillis());
                markPresent(run);
            }
            case OrderOutcome.Rejected rejected -> {
                noteClock(rejected.clockMillis());
                startRejected(run, rejected.reason());
            }
            case OrderOutcome.NotDone notDone -> {
                pausePlacements(FAILED_START_PAUSE_MILLIS);
                mSupervisor.runGone(run, GoneEvidence.NOT_SENT, "not started: " + notDone.reason());
            }
            case OrderOutcome.OtherLife other -> {
                mSupervisor.runGone(
                        run,
                        GoneEvidence.OTHER_WORKER,
                        "another worker answered the start order at " + mEntry.address());
                otherWorkerAnswered(sentMillis);
            }
            case OrderOutcome.Unknown unknown -> {
                LogEvent.ORDER_UNANSWERED.log("start", run, unknown.reason());
                if (run.state == Run.State.ORDERED) {
                    run.state = Run.State.UNKNOWN;
                    stop(run);
                }
            }
        }
        poll();
    }

    private void startRejected(Run run, WorkerControl.Rejection reason) {
        LogEvent.ORDER_REJECTED.log("start", run, reason);
        switch (reason) {
            case FENCED -> mSupervisor.fenced(this);
            case SUPERSEDED -> run.state = Run.State.UNKNOWN;
            case NO_ROOM -> {
                pausePlacements(NO_ROOM_PAUSE_MILLIS);
                mSupervisor.runGone(run, GoneEvidence.REJECTED, "no room");
            }
            case LATE, NOT_APPROVED ->
                    mSupervisor.runGone(run, GoneEvidence.REJECTED, "rejected: " + reason);
            case MALFORMED -> {
                pausePlacements(FAILED_START_PAUSE_MILLIS);
                mSupervisor.runGone(run, GoneEvidence.REJECTED, "the worker cannot use the order");
            }
        }
    }

    private void pausePlacements(long pauseMillis) {
        noNewTasksUntilMillis = Math.max(noNewTasksUntilMillis, mLoop.nowMillis() + pauseMillis);
    }

    private void markPresent(Run run) {
        run.lastSeenMillis = mLoop.nowMillis();
        if (run.state != Run.State.PRESENT) {
            run.state = Run.State.PRESENT;
            run.confirmedMillis = mLoop.nowMillis();
            mSupervisor.runConfirmed(run);
        }
    }

    /**
     * Marks a run for stopping and sends the stop order, which {@link #repeatOrders} repeats until
     * it is answered, and a poll answer that lists the run repeats after that.
     */
    void stop(Run run) {
        run.stopping = true;
        if (run.stoppingSinceMillis == Run.NEVER) {
            run.stoppingSinceMillis = mLoop.nowMillis();
        }
        if (run.stopInFlight || run.state == Run.State.DECIDED || run.isStopConfirmed()) {
            return;
        }
        run.stopInFlight = true;
        long sentMillis = mLoop.nowMillis();
        run.stopSentMillis = sentMillis;
        run.stopOrderCount++;
        guarded(
                        () ->
                                mControl.stop(
                                        mEntry,
                                        run.task.name,
                                        run.attempt,
                                        mSupervisor.fencingToken(),
                                        ANSWER_TIMEOUT_MILLIS),
                        0,
                        OrderOutcome.Unknown::new)
                .thenAccept(outcome -> stopAnswered(run, outcome, sentMillis));
    }

    private void stopAnswered(Run run, OrderOutcome outcome, long sentMillis) {
        run.stopInFlight = false;
        run.stopOutcome = outcome.toString();
        if (mClosed || mRuns.get(run.task.name) != run) {
            return;
        }
        switch (outcome) {
            case OrderOutcome.Done done -> {
                noteClock(done.clockMillis());
                run.stopConfirmedMillis = mLoop.nowMillis();
            }
            case OrderOutcome.Rejected rejected -> {
                if (rejected.reason() == WorkerControl.Rejection.FENCED) {
                    mSupervisor.fenced(this);
                } else {
                    LogEvent.ORDER_REJECTED.log("stop", run, rejected.reason());
                    run.stopConfirmedMillis = mLoop.nowMillis();
                }
            }
            case OrderOutcome.OtherLife other -> otherWorkerAnswered(sentMillis);
            case OrderOutcome.NotDone notDone ->
                    LogEvent.ORDER_UNANSWERED.log("stop", run, notDone.reason());
            case OrderOutcome.Unknown unknown ->
                    LogEvent.ORDER_UNANSWERED.log("stop", run, unknown.reason());
        }
        poll();
    }

    /** Sets the pace of a run. */
    void pace(Run run, int percent) {
        boolean mayBeSet = run.pacePercent == percent;
        if (run.paceInFlight
                || run.state != Run.State.PRESENT
                || (mayBeSet && !isPaceConfirmationDue(run))) {
            return;
        }
        run.paceInFlight = true;
        LogEvent.RUN_PACED.log(run, run.pacePercent, percent);
        guarded(
                        () ->
                                mControl.pace(
                                        mEntry,
                                        run.task.name,
                                        run.attempt,
                                        percent,
                                        mSupervisor.fencingToken(),
                                        ANSWER_TIMEOUT_MILLIS),
                        0,
                        OrderOutcome.Unknown::new)
                .thenAccept(
                        outcome -> {
                            run.paceInFlight = false;
                            run.paceUncertain = !(outcome instanceof OrderOutcome.Done);
                            if (outcome instanceof OrderOutcome.Done) {
                                run.pacePercent = percent;
                                runsChanged();
                            } else {
                                LogEvent.ORDER_UNANSWERED.log("pace", run, outcome);
                            }
                        });
    }

    /**
     * Returns whether a pace should be set again, since the worker may have another one. A new
     * leader does so for every filler, so these orders are spread over its first seconds.
     */
    private boolean isPaceConfirmationDue(Run run) {
        return run.paceUncertain
                && mLoop.nowMillis() - run.confirmedMillis >= PACE_CONFIRMATION_DELAY_MILLIS
                && mRuns.values().stream().noneMatch(other -> other.paceInFlight);
    }

    /** Sends stop orders again that got no answer, and polls if necessary. */
    void repeatOrders() {
        for (Run run : new ArrayList<>(mRuns.values())) {
            if (run.stopping) {
                stop(run);
            }
        }
        poll();
    }

    /** Records that the ends up to a number are stored, so that they may be acknowledged. */
    void endsStored(long endNumber) {
        if (endNumber > mStoredEndNumber) {
            mStoredEndNumber = endNumber;
            poll();
        }
    }

    long seenEndNumber() {
        return mSeenEndNumber;
    }

    /** Sends a poll unless one is in flight or there is no reason for one. */
    void poll() {
        if (mClosed || mPollInFlight || !mSupervisor.mayOrder()) {
            return;
        }
        // A worker answers at once while it has unacknowledged ends. Until they are stored, only
        // the renewal of leases is a reason to poll.
        if (mSeenEndNumber > mStoredEndNumber
                && !isAcknowledgementDue()
                && mLoop.nowMillis() - mPollSentMillis < RENEWAL_INTERVAL_MILLIS) {
            return;
        }
        if (isAcknowledgementWithheld()
                && mLoop.nowMillis() - mPollSentMillis < POLL_RETRY_MILLIS) {
            return;
        }
        boolean hasSentRuns =
                mRuns.values().stream().anyMatch(run -> run.state != Run.State.DECIDED);
        if (hasSentRuns || isProbeDue() || isAcknowledgementDue()) {
            sendPoll();
        } else if (mAcknowledgedEndNumber < mStoredEndNumber && !mAcknowledgePollScheduled) {
            mAcknowledgePollScheduled = true;
            mLoop.schedule(ACKNOWLEDGE_DELAY_MILLIS, this::sendAcknowledgePoll);
        }
    }

    /** Returns whether a worker without runs has to be polled to see whether it answers again. */
    private boolean isProbeDue() {
        return listed
                && silent()
                && mLoop.nowMillis() - mPollSentMillis >= SILENT_POLL_INTERVAL_MILLIS;
    }

    /**
     * Returns whether the worker has answered a moment ago or since a time, or a poll is in flight
     * that would show that it is gone.
     *
     * @param sinceMillis monotonic time
     */
    boolean isInContact(long sinceMillis) {
        return hasJustAnswered() || mAnsweredMillis >= sinceMillis || (mPollInFlight && !mAsked);
    }

    /** Polls a worker that is not in contact; a placement pass follows on the answer. */
    void ask() {
        if (!mClosed && !mPollInFlight && mSupervisor.mayOrder()) {
            mAsked = true;
            sendPoll();
        }
    }

    private void sendAcknowledgePoll() {
        mAcknowledgePollScheduled = false;
        if (!mClosed
                && !mPollInFlight
                && mAcknowledgedEndNumber < mStoredEndNumber
                && mSupervisor.mayOrder()) {
            sendPoll();
        }
    }

    private void sendPoll() {
        mPollInFlight = true;
        long sentMillis = mLoop.nowMillis();
        mPollSentMillis = sentMillis;
        // A poll without an answer may have renewed the leases. So that they lapse, the polls of a
        // silent worker and the first one of a worker with inherited runs do not renew them.
        boolean renews = !silent() && !mLeaseBoundStored && !mRuns.isEmpty() && !isUnreached();
        long leaseMillis = renews ? mSupervisor.leaseMillis() : 0;
        Long deadlineClockMillis = leaseMillis > 0 ? clockNowMillis() + leaseMillis : null;
        mOfferedLeaseClockMillis = deadlineClockMillis == null ? 0 : deadlineClockMillis;
        boolean unresolved = mRuns.values().stream().anyMatch(this::isUnresolved);
        boolean shared = mUsage.longRunningCpuMillicores() > 0 && mUsage.fillerCpuMillicores() > 0;
        // A silent worker, or one whose lease bound is stored, answers at once, so that its leases
        // are renewed again soon.
        long waitMillis =
                unresolved || silent() || mRuns.isEmpty() || mLeaseBoundStored
                        ? 0
                        : Math.min(
                                shared ? SHARED_POLL_WAIT_MILLIS : POLL_WAIT_MILLIS,
                                confirmedStopWaitMillis());
        long acknowledged = isAcknowledgementDue() ? mStoredEndNumber : 0;
        guarded(
                        () ->
                                mControl.poll(
                                        mEntry,
                                        deadlineClockMillis,
                                        mSupervisor.fencingToken(),
                                        acknowledged,
                                        waitMillis,
                                        waitMillis + ANSWER_TIMEOUT_MILLIS),
                        waitMillis,
                        PollOutcome.Failed::new)
                .thenAccept(outcome -> pollAnswered(outcome, sentMillis, acknowledged));
    }

    /**
     * Returns the longest wait of a poll that shows soon whether a confirmed stop had an effect.
     */
    private long confirmedStopWaitMillis() {
        return mRuns.values().stream().anyMatch(Run::isStopConfirmed)
                ? mSupervisor.stopTimeoutMillis()
                : Long.MAX_VALUE;
    }

    /**
     * Returns whether the next poll acknowledges ends. A worker that has restarted would forget its
     * own first ends, so nothing is acknowledged twice, to a silent worker, or while an order may
     * have been carried out by a later incarnation. A truncated list is an exception, since it may
     * leave out the run in question until ends are acknowledged.
     */
    private boolean isAcknowledgementDue() {
        return mAcknowledgedEndNumber < mStoredEndNumber
                && !silent()
                && hasJustAnswered()
                && (mListTruncated
                        || mRuns.values().stream().noneMatch(Run::mayBeOnLaterIncarnation));
    }

    /** Returns whether the worker cannot have restarted since its last answer to a poll. */
    private boolean hasJustAnswered() {
        return mLoop.nowMillis() - mAnsweredMillis <= SAME_INCARNATION_MILLIS;
    }

    /**
     * Returns whether the worker answers polls at once, with ends that cannot be acknowledged
     * before a start order is answered, or before the worker's own entry tells its start time.
     */
    private boolean isAcknowledgementWithheld() {
        return mAcknowledgedEndNumber < mStoredEndNumber
                && mRuns.values().stream()
                        .anyMatch(
                                run ->
                                        run.state == Run.State.ORDERED
                                                || (mIncarnationStartWallMillis == 0
                                                        && !run.listed));
    }

    /**
     * Returns whether any poll answer shows if a run is present, so that the poll must not wait for
     * a run to end.
     */
    private boolean isUnresolved(Run run) {
        return run.state == Run.State.UNKNOWN || run.state == Run.State.INHERITED;
    }

    private void pollAnswered(PollOutcome outcome, long sentMillis, long acknowledged) {
        mPollInFlight = false;
        if (!(outcome instanceof PollOutcome.NotSent) && mOfferedLeaseClockMillis > 0) {
            mLeaseDeadlineClockMillis =
                    Math.max(mLeaseDeadlineClockMillis, mOfferedLeaseClockMillis);
            mLeaseSentMillis = Math.max(mLeaseSentMillis, sentMillis);
        }
        mOfferedLeaseClockMillis = 0;
        if (mClosed) {
            return;
        }
        if (mAsked) {
            mAsked = false;
            mSupervisor.requestPass();
        }
        switch (outcome) {
            case PollOutcome.Seen seen -> {
                if (seen.incarnationStartWallMillis() != 0
                        && mIncarnationStartWallMillis != 0
                        && seen.incarnationStartWallMillis() != mIncarnationStartWallMillis) {
                    mSupervisor.restarted(
                            this, seen.incarnationStartWallMillis(), seen.clockMillis());
                    return;
                }
                if (mFailedPollCount > 0) {
                    LogEvent.WORKER_REACHED.log(mId, mFailedPollCount);
                    mFailedPollCount = 0;
                }
                if (mLeaseBoundStored) {
                    mSupervisor.leaseBoundChanged();
                }
                mAcknowledgedEndNumber = Math.max(mAcknowledgedEndNumber, acknowledged);
                mAnsweredMillis = mLoop.nowMillis();
                mListTruncated = !seen.complete();
                noteClock(seen.clockMillis());
                noteReached();
                applyReports(seen, sentMillis);
                runsChanged();
                mSupervisor.polled(this);
                if (mRuns.values().stream().anyMatch(this::isUnresolved)
                        || mLeaseBoundStored
                        || isAcknowledgementWithheld()) {
                    mLoop.schedule(POLL_RETRY_MILLIS, this::poll);
                } else {
                    // Stop orders first: the next poll may take the last connection that the
                    // worker accepts.
                    repeatOrders();
                }
            }
            case PollOutcome.Fenced fenced -> mSupervisor.fenced(this);
            case PollOutcome.OtherLife other -> otherWorkerAnswered(sentMillis);
            case PollOutcome.NotSent notSent -> pollFailed(notSent.reason());
            case PollOutcome.Failed failed -> pollFailed(failed.reason());
        }
    }

    /**
     * Gives up the runs that another worker's answer at the address rules out. The answer says
     * nothing about orders in flight, nor about runs that were ordered or confirmed after the call
     * was sent: answers overtake each other, and the worker may have restarted meanwhile. It also
     * says nothing about runs of an incarnation that began after the session's, since that one may
     * have another address.
     */
    private void otherWorkerAnswered(long sentMillis) {
        List<Run> gone = new ArrayList<>();
        for (Run run : mRuns.values()) {
            if (run.state != Run.State.ORDERED
                    && run.orderSentMillis < sentMillis
                    && !run.mayBeOnIncarnationAfter(mIncarnationStartWallMillis)
                    && (run.state != Run.State.PRESENT || run.confirmedMillis < sentMillis)) {
                gone.add(run);
            }
        }
        if (gone.size() == mRuns.size()) {
            mSupervisor.addressTaken(this);
            return;
        }
        String reason = "another worker answers at its address " + mEntry.address();
        gone.forEach(run -> mSupervisor.runGone(run, GoneEvidence.OTHER_WORKER, reason));
        pollFailed(reason);
    }

    private void pollFailed(String reason) {
        if (mFailedPollCount++ == 0) {
            LogEvent.WORKER_SILENT.log(mId, reason);
            mSupervisor.leaseBoundChanged();
        }
        mLoop.schedule(POLL_RETRY_MILLIS, this::poll);
    }

    private void applyReports(PollOutcome.Seen seen, long sentMillis) {
        Set<TaskName> present = new HashSet<>();
        for (RunReport report : seen.running()) {
            Run run = mRuns.get(report.task());
            if (run == null || run.attempt != report.attempt()) {
                mSupervisor.unknownRun(this, report);
                continue;
            }
            present.add(report.task());
            // An answer without a start time may be that of a later incarnation, and so may be one
            // to a session whose entry had none.
            run.listed = seen.incarnationStartWallMillis() == mIncarnationStartWallMillis;
            run.reportedProgressPercent = report.percent();
            run.reportedLoad = report.load();
            run.task.checkpoint.offer(report.checkpoint(), report.attempt(), report.percent());
            markPresent(run);
            repeatStopWithoutEffect(run, sentMillis);
        }
        for (EndReport end : seen.ended()) {
            if (end.number() > mSeenEndNumber) {
                mSeenEndNumber = end.number();
                mSupervisor.runEnded(this, end);
            }
        }
        if (!seen.complete()) {
            return;
        }
        List<Run> gone = new ArrayList<>();
        for (Run run : mRuns.values()) {
            if (!present.contains(run.task.name) && isGone(run, sentMillis)) {
                gone.add(run);
            }
        }
        gone.forEach(
                run ->
                        mSupervisor.runGone(
                                run, GoneEvidence.NOT_LISTED, "the worker does not list it"));
    }

    /**
     * Sends a stop order again that the worker has confirmed, if a poll that was sent after the
     * time for it lists the run.
     */
    private void repeatStopWithoutEffect(Run run, long sentMillis) {
        if (hasStopped(run, sentMillis)) {
            LogEvent.STOP_WITHOUT_EFFECT.log(run, mLoop.nowMillis() - run.stopConfirmedMillis);
            run.stopConfirmedMillis = Long.MAX_VALUE;
            stop(run);
        }
    }

    /** Returns whether a run that a poll did not list can no longer appear on the worker. */
    private boolean isGone(Run run, long sentMillis) {
        return switch (run.state) {
            case DECIDED, ORDERED -> false;
            case PRESENT ->
                    run.confirmedMillis < sentMillis
                            && (!run.stopping || hasStopped(run, sentMillis));
            case UNKNOWN ->
                    hasStopped(run, sentMillis)
                            || Math.max(run.orderExpiresAtMillis, run.stopSentMillis)
                                    < sentMillis - stopTimeoutMillis();
            // The poll's fencing token makes the worker refuse orders of the previous leader.
            // A stop order of that leader may be taking effect, so that neither list has the run.
            case INHERITED ->
                    run.stopping
                            ? hasStopped(run, sentMillis)
                            : mReachedMillis < sentMillis - stopTimeoutMillis();
        };
    }

    /**
     * Returns whether a stop order had certainly ended a run before a given time. While it takes
     * effect, the worker may list the run neither as running nor as ended.
     */
    private boolean hasStopped(Run run, long atMillis) {
        return run.stopConfirmedMillis < atMillis - stopTimeoutMillis();
    }

    private long stopTimeoutMillis() {
        return toOwnClock(mSupervisor.stopTimeoutMillis());
    }

    /** Returns whether all leases that any leader has granted must have lapsed on the worker. */
    boolean leasesLapsed() {
        return mLoop.nowMillis() > leaseEndMillis();
    }

    /** Returns the time until all leases must have lapsed on the worker; 0 if they have. */
    long leaseLeftMillis() {
        return Math.max(0, leaseEndMillis() - mLoop.nowMillis());
    }

    /** Describes whose leases may last longest, and when the worker last answered. */
    String describeLeases() {
        String grantedBy =
                isLeaseEndInherited()
                        ? "in other sessions, " + mInheritedLeaseMillis + " ms at most"
                        : "in this session";
        String answered =
                mReached
                        ? "last answer " + (mLoop.nowMillis() - mAnsweredMillis) + " ms ago"
                        : "no answer in this session";
        return "leases granted " + grantedBy + "; " + answered;
    }

    /** Returns whether the leases that were granted in other sessions may last longest. */
    boolean isLeaseEndInherited() {
        return mInheritedLeaseEndMillis > grantedLeaseEndMillis();
    }

    /** Returns the monotonic time after which all leases must have lapsed on the worker. */
    private long leaseEndMillis() {
        return Math.max(mInheritedLeaseEndMillis, grantedLeaseEndMillis());
    }

    /** Returns the monotonic time after which the leases of this session must have lapsed. */
    private long grantedLeaseEndMillis() {
        long deadlineClockMillis = Math.max(mLeaseDeadlineClockMillis, mOfferedLeaseClockMillis);
        long sentMillis =
                mOfferedLeaseClockMillis > 0
                        ? Math.max(mLeaseSentMillis, mPollSentMillis)
                        : mLeaseSentMillis;
        // A deadline on the clock of the session's incarnation may lie far ahead on that of a later
        // one, which shortens it to the longest lease.
        long longestEndMillis =
                sentMillis + ANSWER_TIMEOUT_MILLIS + toOwnClock(mSupervisor.longestLeaseMillis());
        return mRuns.values().stream().anyMatch(Run::mayHaveStartedOnLaterIncarnation)
                ? longestEndMillis
                : Math.min(passedAtMillis(deadlineClockMillis), longestEndMillis);
    }

    boolean silent() {
        return mFailedPollCount > 0;
    }

    /** Returns the monotonic time at which the worker was last known to work; now if it answers. */
    long lastContactMillis() {
        return silent() ? mAnsweredMillis : mLoop.nowMillis();
    }

    long nowMillis() {
        return mLoop.nowMillis();
    }

    /** Returns whether the worker has answered the last poll of this session. */
    boolean answers() {
        return mReached && !silent();
    }

    /** Returns whether a lease bound of the worker may be stored. */
    boolean isLeaseBoundStored() {
        return mLeaseBoundStored;
    }

    /**
     * Returns the lease bound to store with the next commit, if it is missing or out of date. From
     * now on no lease is renewed until {@link #leaseBoundRemoved}.
     */
    Optional<LeaseBound> takeLeaseBound() {
        if (!isLeaseBoundDue()) {
            return Optional.empty();
        }
        long now = mLoop.nowMillis();
        mLeaseBoundStored = true;
        mLeaseBoundMillis = now;
        return Optional.of(
                new LeaseBound(mIncarnationStartWallMillis, Math.max(0, leaseEndMillis() - now)));
    }

    /** Returns whether the lease bound has to be stored or brought up to date. */
    boolean isLeaseBoundDue() {
        return needsLeaseBound()
                && mLoop.nowMillis() - mLeaseBoundMillis >= LEASE_BOUND_INTERVAL_MILLIS;
    }

    /**
     * Returns whether a successor would have to wait for the leases of the worker: it does not
     * answer, or it did not answer the previous leader and has not been reached since, or it has
     * not answered the first poll of this leader for a while.
     */
    boolean needsLeaseBound() {
        return !mRuns.isEmpty()
                && (silent()
                        || (mLeaseBoundStored && !mReached)
                        || (isUnreached() && isPollOverdue()));
    }

    /** Returns whether the worker has inherited runs and has not answered this leader yet. */
    private boolean isUnreached() {
        return !mReached
                && mRuns.values().stream().anyMatch(run -> run.state == Run.State.INHERITED);
    }

    private boolean isPollOverdue() {
        return mPollInFlight && mLoop.nowMillis() - mPollSentMillis >= LEASE_BOUND_INTERVAL_MILLIS;
    }

    /** Records that no lease bound is stored any more, so that leases may be renewed. */
    void leaseBoundRemoved() {
        mLeaseBoundStored = false;
        mLeaseBoundMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Applies the lease bound that a previous leader has stored.
     *
     * @param bound the bound
     * @param writtenByMillis monotonic time by which it had certainly been determined
     */
    void restoreLeaseBound(LeaseBound bound, long writtenByMillis) {
        mLeaseBoundStored = true;
        mInheritedLeaseEndMillis =
                Math.min(mInheritedLeaseEndMillis, writtenByMillis + bound.remainingMillis());
    }

    /**
     * Bounds the inherited leases at the first answer. The worker has seen this leader's fencing
     * token, so that it refuses later renewals by others, and those before started no later.
     */
    private void noteReached() {
        if (!mReached) {
            mReached = true;
            mReachedMillis = mLoop.nowMillis();
            mInheritedLeaseEndMillis =
                    Math.min(
                            mInheritedLeaseEndMillis,
                            passedAtMillis(mClockReadingMillis + mInheritedLeaseMillis));
        }
    }

    /** Takes over the clock in an answer; 0 if the answer does not tell it. */
    private void noteClock(long clockMillis) {
        if (clockMillis <= 0) {
            return;
        }
        mClockReadingMillis = clockMillis;
        mClockReadAtMillis = mLoop.nowMillis();
    }

    /** Returns a lower bound for the worker's clock now. */
    private long clockNowMillis() {
        return mClockReadingMillis
                + (long) ((mLoop.nowMillis() - mClockReadAtMillis) / CLOCK_RATE_BOUND);
    }

    /** Returns the monotonic time at which the worker's clock has certainly passed a given time. */
    private long passedAtMillis(long clockMillis) {
        return mClockReadAtMillis + toOwnClock(Math.max(0, clockMillis - mClockReadingMillis));
    }

    /** Returns the time on the monotonic clock in which a time on the worker's clock has passed. */
    private static long toOwnClock(long workerMillis) {
        return (long) (workerMillis * CLOCK_RATE_BOUND) + TIMER_DELAY_MILLIS;
    }
}
