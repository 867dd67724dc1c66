package org.hornbeamward.dispatch.fake;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.hornbeamward.dispatch.port.WorkerControl.EndReport;
import org.hornbeamward.dispatch.port.WorkerControl.OrderOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.PollOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.Rejection;
import org.hornbeamward.dispatch.port.WorkerControl.RunReport;
import org.hornbeamward.dispatch.port.WorkerControl.StartOrder;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * A worker as the platform's documentation describes it, with stops that take time, room for a
 * limited number of runs and faults that last for a while.
 */
public final class SimulatedWorker {
    /** A fault of the worker or of the path to it. */
    public enum Fault {
        /** Neither calls nor answers arrive. */
        CUT,
        /**
         * Calls and answers arrive in random order once the fault has ended, whether or not the
         * caller still waits for them.
         */
        HELD,
        /** Calls are carried out, but no answer arrives. */
        ANSWERS_LOST,
        /** Half of the calls are carried out 2 to 12 s after they were sent, without an answer. */
        LATE_CALLS,
        /** Calls and answers take up to 0.4 s each, so that they overtake each other. */
        JITTER,
        /** Connections are refused. */
        REFUSED,
        /** The worker answers that it is unhealthy and has done nothing. */
        UNHEALTHY,
        /** Another worker answers at the address. */
        OTHER_WORKER,
        /** The worker answers start orders that it is unhealthy; it carries out all other calls. */
        STARTS_REFUSED,
        /** Start orders are not carried out and get no answer; all other calls are carried out. */
        STARTS_HANG,
        /** Start and stop orders are not carried out and get no answer; polls are answered. */
        ORDERS_HANG,
        /** A share of the calls is not carried out and gets no answer. */
        MUTE,
        /** A share of the calls is answered with status 503 and not carried out. */
        SHED,
        /** The connections of a share of the calls are reset, half of them after the call. */
        RESET,
        /** Answers to polls arrive up to 0.4 s after the lists in them were made. */
        OLD_LISTS
    }

    /** Decides how runs of a task behave. */
    public interface Workload {
        /** Returns the duration of a run in milliseconds; negative if it fails after that time. */
        long durationMillis(TaskName task, Random random);

        /** Returns the resources that a run of the task needs. */
        Resources size(TaskName task);
    }

    private static final class LiveRun {
        private final TaskName mTask;
        private final int mAttempt;
        private final long mStartMillis;
        private final long mDurationMillis;
        private boolean mStopping;
        private boolean mStopLost;

        LiveRun(TaskName task, int attempt, long startMillis, long durationMillis) {
            mTask = task;
            mAttempt = attempt;
            mStartMillis = startMillis;
            mDurationMillis = durationMillis;
        }
    }

    private final Loop mLoop;
    private final String mName;
    private final Random mRandom;
    private final RunObserver mObserver;
    private final Workload mWorkload;
    private final Resources mCapacity = new Resources(4_000, 64_000, 0);
    private final long mLongestLeaseMillis;
    private final int mClockPercent;
    private final Map<Fault, Long> mFaultEndMillis = new EnumMap<>(Fault.class);
    private final Map<Fault, Integer> mFaultPercents = new EnumMap<>(Fault.class);
    private final List<LiveRun> mRuns = new ArrayList<>();
    private final Map<TaskName, Integer> mHighestEndedAttempts = new HashMap<>();
    private final List<EndReport> mEnds = new ArrayList<>();
    private int mIncarnation;
    private boolean mUp = true;
    private long mBornWallMillis;
    private long mClockOriginMillis;
    private long mHighestToken;
    private long mLeaseDeadlineClockMillis;
    private long mLastEndNumber;
    private long mLastLapsedEnd;

    /** Longest time that a stop takes. */
    public long maxStopMillis = 200;

    /** Whether a run that is being stopped is listed neither as running nor as ended. */
    public boolean hidesStoppingRuns;

    /** Whether an acknowledgement also covers later ends whose numbers it reaches. */
    public boolean remembersAcknowledgements;

    /** Whether the first stop of a run is answered and has no effect. */
    public boolean losesFirstStops;

    /** Largest number of connections that may be open at the same time. */
    public int maxConnectionCount = Integer.MAX_VALUE;

    private long mAcknowledgedEnd;
    private int mConnectionCount;

    /**
     * Creates a worker that has been up for a day.
     *
     * @param loop provides the clocks and timers
     * @param name its id
     * @param longestLeaseMillis longest lease that it grants
     * @param clockPercent rate of its clock
     * @param random source of durations
     * @param observer observes its runs
     * @param workload decides how runs behave
     */
    public SimulatedWorker(
            Loop loop,
            String name,
            long longestLeaseMillis,
            int clockPercent,
            Random random,
            RunObserver observer,
            Workload workload) {
        mLoop = loop;
        mName = name;
        mLongestLeaseMillis = longestLeaseMillis;
        mClockPercent = clockPercent;
        mRandom = random;
        mObserver = observer;
        mWorkload = workload;
        mBornWallMillis = loop.wallMillis() - 86_400_000L;
        mClockOriginMillis = loop.nowMillis() - 86_400_000L;
    }

    /** Returns the worker's id. */
    public String name() {
        return mName;
    }

    /** Returns the source of the worker's delays. */
    Random random() {
        return mRandom;
    }

    /** Returns whether the process runs. */
    public boolean isUp() {
        return mUp;
    }

    /** Returns the number of the present incarnation. */
    public int incarnation() {
        return mIncarnation;
    }

    private String incarnationName() {
        return mName + "#" + mIncarnation;
    }

    /**
     * Starts or prolongs a fault.
     *
     * @param fault the fault
     * @param untilMillis monotonic time at which it ends
     */
    public void addFault(Fault fault, long untilMillis) {
        mFaultEndMillis.merge(fault, untilMillis, Math::max);
    }

    /**
     * Starts or prolongs a fault that affects a share of the calls.
     *
     * @param fault the fault
     * @param percent the share in percent; replaces that of an earlier fault of the same kind
     * @param untilMillis monotonic time at which it ends
     */
    public void addFault(Fault fault, int percent, long untilMillis) {
        addFault(fault, untilMillis);
        mFaultPercents.put(fault, percent);
    }

    /** Returns whether a fault that affects a share of the calls affects the next one. */
    boolean strikes(Fault fault) {
        return has(fault) && mRandom.nextInt(100) < mFaultPercents.getOrDefault(fault, 100);
    }

    /** Opens a connection; returns false if the worker takes no further one. */
    boolean openConnection() {
        if (mConnectionCount >= maxConnectionCount) {
            return false;
        }
        mConnectionCount++;
        return true;
    }

    void closeConnections(int count) {
        mConnectionCount -= count;
    }

    /**
     * Returns whether a fault is present.
     *
     * @param fault the fault
     * @return true if it has started and not ended
     */
    public boolean has(Fault fault) {
        return mLoop.nowMillis() < mFaultEndMillis.getOrDefault(fault, 0L);
    }

    /** Returns the monotonic time at which a fault ends; 0 if it has never been added. */
    long faultEndMillis(Fault fault) {
        return mFaultEndMillis.getOrDefault(fault, 0L);
    }

    /** Ends the process; all runs and reports are lost. */
    public void crash() {
        for (LiveRun run : mRuns) {
            mObserver.ended(run.mTask, run.mAttempt, incarnationName(), null);
        }
        mRuns.clear();
        mHighestEndedAttempts.clear();
        mEnds.clear();
        mHighestToken = 0;
        mLeaseDeadlineClockMillis = 0;
        mLastEndNumber = 0;
        mLastLapsedEnd = 0;
        mAcknowledgedEnd = 0;
        mConnectionCount = 0;
        mUp = false;
        mIncarnation++;
    }

    /** Starts the process again under its id. */
    public void startAgain() {
        mUp = true;
        mBornWallMillis = mLoop.wallMillis();
        mClockOriginMillis = mLoop.nowMillis();
    }

    /** Returns the present entry. */
    public WorkerEntry entry() {
        return new WorkerEntry(
                new WorkerId(mName),
                mBornWallMillis,
                "pool",
                mName,
                new FailureDomainId("zone"),
                "rack",
                Set.of("kind", "rack"),
                mCapacity,
                false,
                0,
                clockMillis());
    }

    private long clockMillis() {
        return (mLoop.nowMillis() - mClockOriginMillis) * mClockPercent / 100;
    }

    private void extendLeases(long deadlineClockMillis) {
        mLeaseDeadlineClockMillis =
                Math.max(
                        mLeaseDeadlineClockMillis,
                        Math.min(deadlineClockMillis, clockMillis() + mLongestLeaseMillis));
    }

    /** Returns the capacity that no present run takes. */
    public Resources free() {
        Resources free = mCapacity;
        for (LiveRun run : mRuns) {
            free = free.minus(mWorkload.size(run.mTask));
        }
        return free;
    }

    /** Ends all runs if the lease has lapsed. */
    public void expireLeases() {
        if (mUp && clockMillis() > mLeaseDeadlineClockMillis) {
            mLastLapsedEnd = mLastEndNumber;
            new ArrayList<>(mRuns).forEach(run -> end(run, EndKind.LAPSED));
        }
    }

    /** Ends the lease at once. */
    public void dropLease() {
        mLeaseDeadlineClockMillis = Math.min(mLeaseDeadlineClockMillis, clockMillis() - 1);
        expireLeases();
    }

    private void end(LiveRun run, EndKind kind) {
        if (mRuns.remove(run)) {
            mHighestEndedAttempts.merge(run.mTask, run.mAttempt, Math::max);
            mEnds.add(new EndReport(++mLastEndNumber, run.mTask, run.mAttempt, kind, ""));
            mObserver.ended(run.mTask, run.mAttempt, incarnationName(), kind);
            forget(mAcknowledgedEnd);
        }
    }

    private @Nullable LiveRun find(TaskName task, int attempt) {
        for (LiveRun run : mRuns) {
            if (run.mTask.equals(task) && run.mAttempt == attempt) {
                return run;
            }
        }
        return null;
    }

    OrderOutcome start(StartOrder order, boolean late, long orderMillis) {
        expireLeases();
        if (order.fencingToken() < mHighestToken) {
            return new OrderOutcome.Rejected(Rejection.FENCED, clockMillis());
        }
        mHighestToken = order.fencingToken();
        if (clockMillis() > order.deadlineClockMillis()) {
            return new OrderOutcome.Rejected(Rejection.LATE, clockMillis());
        }
        extendLeases(order.deadlineClockMillis());
        if (find(order.task(), order.attempt()) != null) {
            return new OrderOutcome.Done(clockMillis());
        }
        if (order.attempt() <= mHighestEndedAttempts.getOrDefault(order.task(), 0)) {
            return new OrderOutcome.Rejected(Rejection.SUPERSEDED, clockMillis());
        }
        if (!mWorkload.size(order.task()).fitsIn(free())) {
            return new OrderOutcome.Rejected(Rejection.NO_ROOM, clockMillis());
        }
        long durationMillis = mWorkload.durationMillis(order.task(), mRandom);
        LiveRun run =
                new LiveRun(
                        order.task(), order.attempt(), mLoop.nowMillis(), Math.abs(durationMillis));
        mRuns.add(run);
        mObserver.started(order.task(), order.attempt(), incarnationName(), late, orderMillis);
        mLoop.schedule(
                Math.abs(durationMillis),
                () -> {
                    expireLeases();
                    end(run, durationMillis < 0 ? EndKind.FAILED : EndKind.DONE);
                });
        return new OrderOutcome.Done(clockMillis());
    }

    OrderOutcome stop(TaskName task, int attempt, long token) {
        expireLeases();
        if (token < mHighestToken) {
            return new OrderOutcome.Rejected(Rejection.FENCED, clockMillis());
        }
        mHighestToken = token;
        LiveRun run = find(task, attempt);
        if (run != null && losesFirstStops && !run.mStopLost) {
            run.mStopLost = true;
            return new OrderOutcome.Done(clockMillis());
        }
        mHighestEndedAttempts.merge(task, attempt, Math::max);
        if (run != null && !run.mStopping) {
            run.mStopping = true;
            mLoop.schedule(
                    mRandom.nextInt((int) maxStopMillis + 1), () -> end(run, EndKind.STOPPED));
        }
        return new OrderOutcome.Done(clockMillis());
    }

    /** Carries out a poll; returns null if it may be answered, or else the refusal. */
    @Nullable PollOutcome beginPoll(
            @Nullable Long deadlineClockMillis, long token, long acknowledged) {
        expireLeases();
        if (token < mHighestToken) {
            return new PollOutcome.Fenced();
        }
        mHighestToken = token;
        if (deadlineClockMillis != null) {
            extendLeases(deadlineClockMillis);
        }
        mAcknowledgedEnd = remembersAcknowledgements ? Math.max(mAcknowledgedEnd, acknowledged) : 0;
        forget(acknowledged);
        return null;
    }

    private void forget(long acknowledged) {
        for (EndReport end : mEnds) {
            if (end.number() <= acknowledged && end.number() > mLastLapsedEnd) {
                mObserver.acknowledged(end.task(), end.attempt(), incarnationName());
            }
        }
        mEnds.removeIf(end -> end.number() <= acknowledged);
    }

    boolean hasEnds() {
        expireLeases();
        return !mEnds.isEmpty();
    }

    PollOutcome lists() {
        expireLeases();
        List<RunReport> running = new ArrayList<>();
        for (LiveRun run : mRuns) {
            if (!run.mStopping || !hidesStoppingRuns) {
                long percent =
                        100 * (mLoop.nowMillis() - run.mStartMillis) / (run.mDurationMillis + 1);
                running.add(
                        new RunReport(run.mTask, run.mAttempt, "", (int) Math.min(99, percent), 0));
            }
        }
        return new PollOutcome.Seen(
                mBornWallMillis, clockMillis(), running, List.copyOf(mEnds), true);
    }
}
