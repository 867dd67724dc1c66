package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.WorkerControl;
import org.hornbeamward.dispatch.port.WorkerControl.EndReport;
import org.hornbeamward.dispatch.port.WorkerControl.LookOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.OrderOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.RunReport;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;

/**
 * The leader's dealings with one life of a worker: what runs there, its leases, looks and orders.
 * One look is under way as long as something runs or an end is to be acknowledged. Runs on the
 * loop.
 */
final class WorkerSession {
    /** How long a worker waits for an end before it answers a look. */
    private static final long LOOK_WAIT_MILLIS = 1_000;

    /**
     * The same for a worker whose fillers may disturb serving tasks; reports cover half a second.
     */
    private static final long SHARED_WAIT_MILLIS = 500;

    /** Longest time for an answer beyond the wait; workers answer in a few milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 900;

    /** Pause after a look without an answer. */
    private static final long LOOK_RETRY_MILLIS = 150;

    /**
     * Period of renewals while ends cannot be stored: leases of the full length then cover an
     * outage of the store and a restart of the leader.
     */
    private static final long RENEW_MILLIS = 500;

    /** How long ends wait to be acknowledged by a look that serves nothing else. */
    private static final long LAST_ACK_DELAY_MILLIS = 300;

    /** How long an order may take effect after it was sent, on the worker's clock. */
    private static final long ORDER_VALID_MILLIS = 2_000;

    /** The slowest and fastest rate of a worker's clock; the platform allows 2%. */
    private static final double CLOCK_SLACK = 1.03;

    /** How long a worker without room is not tried again. */
    private static final long NO_ROOM_PAUSE_MILLIS = 200;

    /** How long a worker that cannot take orders is not tried again. */
    private static final long UNFIT_PAUSE_MILLIS = 1_000;

    /** Failed looks after which a worker gets no new tasks. */
    private static final int SILENT_LOOK_COUNT = 1;

    /** Failed looks after which leases are not renewed any longer, so that they lapse. */
    private static final int RENEWED_FAILURE_COUNT = 2;

    /** Pace that is reckoned for a filler that stands still, since it will go on again. */
    private static final int RESUMING_PERCENT = 40;

    /** Learns what happens on the worker. */
    interface Supervisor {
        /** Returns the fencing token of all orders. */
        long fencingToken();

        /** Returns the lease to grant in milliseconds, or 0 while none may be granted. */
        long leaseMillis();

        /** Returns whether orders may be given. */
        boolean mayOrder();

        /** An end that was not seen before; it is acknowledged after the next commit. */
        void ended(WorkerSession worker, EndReport end);

        /** A run is gone for certain, without an end. */
        void vanished(Run run, String reason);

        /** A start order was answered. */
        void answered(WorkerSession worker, String outcome);

        /** A run was confirmed. */
        void confirmed(Run run);

        /** A run is present that the leader knows nothing of. */
        void unknownRun(WorkerSession worker, RunReport report);

        /** Something changed that may allow decisions. */
        void changed();

        /** The worker refused the fencing token. */
        void fenced(WorkerSession worker);

        /** Another life of the worker exists. */
        void otherLife(WorkerSession worker);

        /** A look has updated what is known of the runs. */
        void looked(WorkerSession worker);
    }

    private final Loop mLoop;
    private final WorkerControl mControl;
    private final Supervisor mSupervisor;
    private final WorkerId mId;
    private final long mBornWallMillis;
    private final Map<TaskName, Run> mRuns = new LinkedHashMap<>();
    private WorkerEntry mEntry;
    private final Usage mUsage = new Usage();

    /** Whether the registry lists it at present. */
    public boolean listed;

    /** Steady time until which it gets no new tasks. */
    public long avoidUntilMillis;

    /** Failed runs since the last one that was done. */
    public int failureStreak;

    private boolean mClosed;
    private boolean mLookInFlight;
    private boolean mLookPlanned;
    private int mFailedLookCount;
    private long mLookSentMillis = Long.MIN_VALUE / 2;
    private long mSeenEnd;
    private long mStoredEnd;
    private long mAcknowledgedEnd;

    /** A moment of the worker's clock and the steady time at which it had passed for certain. */
    private long mClockMillis;

    private long mClockAtMillis;
    private long mGrantedClockMillis;
    private long mLeaseFloorMillis;

    WorkerSession(Loop loop, WorkerControl control, Supervisor supervisor, WorkerEntry entry) {
        mLoop = loop;
        mControl = control;
        mSupervisor = supervisor;
        mEntry = entry;
        mId = entry.id();
        mBornWallMillis = entry.bornWallMillis();
        mClockMillis = entry.clockMillis();
        mClockAtMillis = loop.nowMillis();
    }

    WorkerId id() {
        return mId;
    }

    long bornWallMillis() {
        return mBornWallMillis;
    }

    WorkerEntry entry() {
        return mEntry;
    }

    void update(WorkerEntry entry) {
        mEntry = entry;
    }

    Resources free() {
        return mEntry.capacity().minus(mUsage.reserved());
    }

    /** Returns the processors that fillers ask for at their present paces. */
    long pacedFillerCpuMillicores() {
        long millicores = 0;
        for (Run run : mRuns.values()) {
            StepSpec spec = run.task.step.spec;
            if (spec.filler()) {
                int percent = Math.max(run.pacePercent, RESUMING_PERCENT);
                millicores += spec.size().cpuMillicores() * percent / 100;
            }
        }
        return millicores;
    }

    long lastingCpuMillicores() {
        return mUsage.lastingCpuMillicores();
    }

    double suspicion() {
        return Math.min(1.0, failureStreak / 4.0);
    }

    Collection<Run> runs() {
        return mRuns.values();
    }

    boolean usable() {
        return listed
                && !mClosed
                && !mEntry.draining()
                && mFailedLookCount < SILENT_LOOK_COUNT
                && mLoop.nowMillis() >= avoidUntilMillis;
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
                + mFailedLookCount
                + " failureStreak="
                + failureStreak
                + " free="
                + free()
                + " runs="
                + mRuns.values();
    }

    /** Notes leases that a former leader may have granted until a moment. */
    void inheritLeases(long untilMillis) {
        mLeaseFloorMillis = untilMillis;
    }

    /** Reserves room for a run. */
    void add(Run run) {
        mRuns.put(run.task.name, run);
        mUsage.add(run);
    }

    /** Releases the room of a run that is gone. */
    void remove(Run run) {
        if (mRuns.remove(run.task.name, run)) {
            mUsage.remove(run);
        }
    }

    /** Ends all dealings. */
    void close() {
        mClosed = true;
    }

    /** Sends the order to start a run; its decision is committed. */
    void start(Run run) {
        long deadlineClockMillis = clockNowMillis() + ORDER_VALID_MILLIS;
        mGrantedClockMillis = Math.max(mGrantedClockMillis, deadlineClockMillis);
        run.state = Run.State.ORDERED;
        run.voidAtMillis = passedAtMillis(deadlineClockMillis);
        WorkerControl.StartOrder order =
                new WorkerControl.StartOrder(
                        run.task.name,
                        run.attempt,
                        run.task.step.job.spec().payload(),
                        deadlineClockMillis,
                        mSupervisor.fencingToken(),
                        run.task.checkpoint,
                        run.ticket);
        mControl.start(mEntry, order, ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> started(run, outcome));
    }

    private void started(Run run, OrderOutcome outcome) {
        mSupervisor.answered(this, outcome.getClass().getSimpleName());
        if (mClosed || mRuns.get(run.task.name) != run) {
            return;
        }
        switch (outcome) {
            case OrderOutcome.Done done -> {
                noteClock(done.clockMillis());
                confirm(run);
            }
            case OrderOutcome.Rejected rejected -> rejected(run, rejected.reason());
            case OrderOutcome.NotDone notDone -> {
                avoid(UNFIT_PAUSE_MILLIS);
                mSupervisor.vanished(run, "not started: " + notDone.reason());
            }
            case OrderOutcome.OtherLife other -> mSupervisor.otherLife(this);
            case OrderOutcome.Unknown unknown -> {
                LogEvent.ORDER_UNANSWERED.log("start", run, unknown.reason());
                if (run.state == Run.State.ORDERED) {
                    run.state = Run.State.UNKNOWN;
                    stop(run);
                }
            }
        }
        look();
    }

    private void rejected(Run run, WorkerControl.Rejection reason) {
        LogEvent.ORDER_REJECTED.log("start", run, reason);
        switch (reason) {
            case FENCED -> mSupervisor.fenced(this);
            case SUPERSEDED -> run.state = Run.State.UNKNOWN;
            case NO_ROOM -> {
                avoid(NO_ROOM_PAUSE_MILLIS);
                mSupervisor.vanished(run, "no room");
            }
            case LATE, NOT_APPROVED -> mSupervisor.vanished(run, "rejected: " + reason);
            case MALFORMED -> {
                avoid(UNFIT_PAUSE_MILLIS);
                mSupervisor.vanished(run, "the worker cannot use the order");
            }
        }
    }

    private void avoid(long pauseMillis) {
        avoidUntilMillis = Math.max(avoidUntilMillis, mLoop.nowMillis() + pauseMillis);
    }

    private void confirm(Run run) {
        if (run.state != Run.State.PRESENT) {
            run.state = Run.State.PRESENT;
            run.confirmedMillis = mLoop.nowMillis();
            mSupervisor.confirmed(run);
        }
    }

    /** Stops a run, and keeps at it until the run is gone. */
    void stop(Run run) {
        run.stopping = true;
        if (run.stopInFlight
                || run.state == Run.State.DECIDED
                || run.stoppedMillis != Long.MAX_VALUE) {
            return;
        }
        run.stopInFlight = true;
        mControl.stop(
                        mEntry,
                        run.task.name,
                        run.attempt,
                        mSupervisor.fencingToken(),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> stopped(run, outcome));
    }

    private void stopped(Run run, OrderOutcome outcome) {
        run.stopInFlight = false;
        if (mClosed || mRuns.get(run.task.name) != run) {
            return;
        }
        switch (outcome) {
            case OrderOutcome.Done done -> {
                noteClock(done.clockMillis());
                run.stoppedMillis = mLoop.nowMillis();
            }
            case OrderOutcome.Rejected rejected -> {
                if (rejected.reason() == WorkerControl.Rejection.FENCED) {
                    mSupervisor.fenced(this);
                } else {
                    LogEvent.ORDER_REJECTED.log("stop", run, rejected.reason());
                    run.stoppedMillis = mLoop.nowMillis();
                }
            }
            case OrderOutcome.OtherLife other -> mSupervisor.otherLife(this);
            case OrderOutcome.NotDone notDone ->
                    LogEvent.ORDER_UNANSWERED.log("stop", run, notDone.reason());
            case OrderOutcome.Unknown unknown ->
                    LogEvent.ORDER_UNANSWERED.log("stop", run, unknown.reason());
        }
        look();
    }

    /** Sets the speed of a run. */
    void pace(Run run, int percent) {
        if (run.paceInFlight || run.pacePercent == percent || run.state != Run.State.PRESENT) {
            return;
        }
        run.paceInFlight = true;
        LogEvent.RUN_PACED.log(run, run.pacePercent, percent);
        mControl.pace(
                        mEntry,
                        run.task.name,
                        run.attempt,
                        percent,
                        mSupervisor.fencingToken(),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(
                        outcome -> {
                            run.paceInFlight = false;
                            if (outcome instanceof OrderOutcome.Done) {
                                run.pacePercent = percent;
                            } else {
                                LogEvent.ORDER_UNANSWERED.log("pace", run, outcome);
                            }
                        });
    }

    /** Repeats stops that got no answer. */
    void repeatOrders() {
        for (Run run : new ArrayList<>(mRuns.values())) {
            if (run.stopping) {
                stop(run);
            }
        }
        look();
    }

    /** Notes that the ends seen so far are stored, so that they may be acknowledged. */
    void stored(long endNumber) {
        mStoredEnd = Math.max(mStoredEnd, endNumber);
        look();
    }

    long seenEnd() {
        return mSeenEnd;
    }

    /** Makes sure that a look is under way if there is a reason for one. */
    void look() {
        if (mClosed || mLookInFlight || !mSupervisor.mayOrder()) {
            return;
        }
        // Ends that are not stored yet answer every look at once, so only leases are a reason.
        if (mSeenEnd > mStoredEnd && mLoop.nowMillis() - mLookSentMillis < RENEW_MILLIS) {
            return;
        }
        boolean committedRuns =
                mRuns.values().stream().anyMatch(run -> run.state != Run.State.DECIDED);
        if (committedRuns) {
            sendLook();
        } else if (mAcknowledgedEnd < mStoredEnd && !mLookPlanned) {
            mLookPlanned = true;
            mLoop.schedule(LAST_ACK_DELAY_MILLIS, this::lastLook);
        }
    }

    private void lastLook() {
        mLookPlanned = false;
        if (!mClosed && !mLookInFlight && mAcknowledgedEnd < mStoredEnd && mSupervisor.mayOrder()) {
            sendLook();
        }
    }

    private void sendLook() {
        mLookInFlight = true;
        long sentMillis = mLoop.nowMillis();
        mLookSentMillis = sentMillis;
        // A look without an answer may have renewed the leases, so a silent worker's must run out.
        boolean renews = mFailedLookCount < RENEWED_FAILURE_COUNT;
        long leaseMillis = renews ? mSupervisor.leaseMillis() : 0;
        Long deadlineClockMillis = leaseMillis > 0 ? clockNowMillis() + leaseMillis : null;
        if (deadlineClockMillis != null) {
            mGrantedClockMillis = Math.max(mGrantedClockMillis, deadlineClockMillis);
        }
        boolean urgent = mRuns.values().stream().anyMatch(this::needsAnswer);
        boolean shared = mUsage.lastingCpuMillicores() > 0 && mUsage.fillerCpuMillicores() > 0;
        long waitMillis =
                urgent || mRuns.isEmpty() ? 0 : shared ? SHARED_WAIT_MILLIS : LOOK_WAIT_MILLIS;
        long acknowledged = mStoredEnd;
        mControl.look(
                        mEntry,
                        deadlineClockMillis,
                        mSupervisor.fencingToken(),
                        acknowledged,
                        waitMillis,
                        waitMillis + ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> looked(outcome, sentMillis, acknowledged));
    }

    /** Returns whether a run's fate shows in any look, not only at its end. */
    private boolean needsAnswer(Run run) {
        return run.state == Run.State.UNKNOWN || run.state == Run.State.INHERITED;
    }

    private void looked(LookOutcome outcome, long sentMillis, long acknowledged) {
        mLookInFlight = false;
        if (mClosed) {
            return;
        }
        switch (outcome) {
            case LookOutcome.Seen seen -> {
                if (seen.bornWallMillis() != 0
                        && mBornWallMillis != 0
                        && seen.bornWallMillis() != mBornWallMillis) {
                    mSupervisor.otherLife(this);
                    return;
                }
                if (mFailedLookCount > 0) {
                    LogEvent.WORKER_REACHED.log(mId, mFailedLookCount);
                    mFailedLookCount = 0;
                }
                mAcknowledgedEnd = Math.max(mAcknowledgedEnd, acknowledged);
                noteClock(seen.clockMillis());
                apply(seen, sentMillis);
                mSupervisor.looked(this);
                if (mRuns.values().stream().anyMatch(this::needsAnswer)) {
                    mLoop.schedule(LOOK_RETRY_MILLIS, this::look);
                } else {
                    look();
                }
            }
            case LookOutcome.Fenced fenced -> mSupervisor.fenced(this);
            case LookOutcome.OtherLife other -> mSupervisor.otherLife(this);
            case LookOutcome.Failed failed -> {
                if (mFailedLookCount++ == 0) {
                    LogEvent.WORKER_SILENT.log(mId, failed.reason());
                }
                mLoop.schedule(LOOK_RETRY_MILLIS, this::look);
            }
        }
    }

    private void apply(LookOutcome.Seen seen, long sentMillis) {
        Set<TaskName> present = new HashSet<>();
        for (RunReport report : seen.running()) {
            Run run = mRuns.get(report.task());
            if (run == null || run.attempt != report.attempt()) {
                mSupervisor.unknownRun(this, report);
                continue;
            }
            present.add(report.task());
            run.reportedPercent = report.percent();
            run.reportedLoad = report.load();
            if (!report.checkpoint().isEmpty()) {
                run.task.checkpoint = report.checkpoint();
            }
            confirm(run);
        }
        for (EndReport end : seen.ended()) {
            if (end.number() > mSeenEnd) {
                mSeenEnd = end.number();
                mSupervisor.ended(this, end);
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
        gone.forEach(run -> mSupervisor.vanished(run, "the worker does not list it"));
    }

    /** Returns whether a run that a look did not list can never appear. */
    private boolean isGone(Run run, long sentMillis) {
        return switch (run.state) {
            case DECIDED, ORDERED -> false;
            case PRESENT -> run.confirmedMillis < sentMillis;
            case UNKNOWN -> run.stoppedMillis < sentMillis || run.voidAtMillis < sentMillis;
            // The look itself made the worker refuse the former leader's orders.
            case INHERITED -> true;
        };
    }

    /** Returns whether all leases must have lapsed because the worker could not be reached. */
    boolean leasesLapsed() {
        long now = mLoop.nowMillis();
        return now > mLeaseFloorMillis && now > passedAtMillis(mGrantedClockMillis);
    }

    boolean silent() {
        return mFailedLookCount > 0;
    }

    private void noteClock(long clockMillis) {
        mClockMillis = clockMillis;
        mClockAtMillis = mLoop.nowMillis();
    }

    /** Returns a lower bound of the worker's clock. */
    private long clockNowMillis() {
        return mClockMillis + (long) ((mLoop.nowMillis() - mClockAtMillis) / CLOCK_SLACK);
    }

    /** Returns the steady time at which the worker's clock has passed a moment for certain. */
    private long passedAtMillis(long clockMillis) {
        return mClockAtMillis + (long) (Math.max(0, clockMillis - mClockMillis) * CLOCK_SLACK) + 50;
    }
}
