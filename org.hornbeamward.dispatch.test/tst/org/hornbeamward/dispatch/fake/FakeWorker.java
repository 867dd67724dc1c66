package org.hornbeamward.dispatch.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * A worker with runs, leases, fencing tokens and reports of ended runs, as the platform's
 * documentation describes them.
 */
public final class FakeWorker {
    /** Longest lease that a worker accepts unless a test changes it. */
    public static final long LONGEST_LEASE_MILLIS = 6_000;

    /** Largest number of ends that a worker lists in one answer. */
    private static final int MAX_LISTED_END_COUNT = 500;

    /** Longest lease that the worker accepts; it shortens longer ones. */
    public long longestLeaseMillis = LONGEST_LEASE_MILLIS;

    private final Loop mLoop;
    private final WorkerId mId;
    private final Resources mCapacity;
    private final Map<TaskName, Integer> mRunning = new LinkedHashMap<>();
    private final Set<TaskName> mStopping = new HashSet<>();
    private final Map<TaskName, Long> mStartedMillis = new HashMap<>();
    private final Map<TaskName, Integer> mHighestEndedAttempts = new HashMap<>();
    private final List<EndReport> mUnacknowledgedEnds = new ArrayList<>();
    private long mIncarnationStartWallMillis;
    private long mClockOriginMillis;
    private long mHighestToken;
    private long mLeaseDeadlineClockMillis;
    private long mLastEndNumber;
    private long mAcknowledgedEnd;

    /** Address at which the worker answers. */
    public String address;

    /** Whether calls neither reach the worker nor get an answer. */
    public boolean unreachable;

    /** Whether connections to the worker fail, so that calls are certainly not carried out. */
    public boolean refusesConnections;

    /** Whether connections to the worker fail once it has carried out a start order. */
    public boolean refusesConnectionsAfterStart;

    /** Whether start orders are refused as by an unhealthy worker; other calls are answered. */
    public boolean refusesStarts;

    /** Whether another worker answers at the address of this one. */
    public boolean addressTaken;

    /** Response time of the other worker. */
    public long addressTakenMillis = 3;

    /** Whether the worker's entry says that it is about to leave. */
    public boolean draining;

    /** Whether calls throw an unexpected exception instead of being sent. */
    public boolean callsThrow;

    /** Delay after which start orders take effect; a delayed order gets no answer; 0 for none. */
    public long startDelayMillis;

    /** Delay after which polls take effect; a delayed poll gets no answer; 0 for none. */
    public long pollDelayMillis;

    /**
     * How long a stop takes; a run that is being stopped is listed neither as running nor as ended.
     */
    public long stopMillis;

    /**
     * Whether the worker accepts no connection beyond one, which carries one call at a time; a call
     * that finds it in use is reset.
     */
    public boolean hasOneConnection;

    /** Whether the one connection is in use. */
    boolean mConnectionInUse;

    /** Number of stop orders that arrived. */
    public int stopCount;

    /** Number of stop orders to come that are confirmed but not carried out. */
    public int ignoredStopCount;

    /** Duration of each run. */
    public long taskMillis = 500;

    /** The newest checkpoint that runs report; empty for none. */
    public String checkpoint = "";

    /** How runs end. */
    public EndKind endKind = EndKind.DONE;

    /** Load that every run reports. */
    public double load;

    /** The pace of every run whose pace was set, in percent. */
    public final Map<TaskName, Integer> paces = new HashMap<>();

    /** Whether pace orders take effect but get no answer. */
    public boolean losesPaceAnswers;

    /** Number of start orders that were rejected because their deadline had passed. */
    public int lateCount;

    /** Longest time from the arrival of a start order until its deadline, on this clock. */
    public long maxOrderValidMillis;

    /** Whether the answers to orders lack the clock, as damaged ones do. */
    public boolean omitsClock;

    /** The task of every start order that took effect. */
    public final List<TaskName> started = new ArrayList<>();

    /** The checkpoint of every start order that took effect. */
    public final List<String> startCheckpoints = new ArrayList<>();

    /** The task of every run that completed its work. */
    public final List<TaskName> done = new ArrayList<>();

    /**
     * Creates a worker.
     *
     * @param loop event loop that provides the clocks and timers
     * @param name id of the worker
     * @param capacity its capacity
     */
    public FakeWorker(Loop loop, String name, Resources capacity) {
        mLoop = loop;
        mId = new WorkerId(name);
        address = name;
        mCapacity = capacity;
        mIncarnationStartWallMillis = loop.wallMillis();
    }

    /**
     * Restarts the worker as a new incarnation under its id and at its address; all runs and
     * reports are lost. The entry in the registry stays as it is.
     */
    public void restart() {
        restart(0);
    }

    /**
     * Restarts the worker after its time of day has jumped.
     *
     * @param jumpMillis by how much the time of day has jumped
     */
    public void restart(long jumpMillis) {
        mRunning.clear();
        mStopping.clear();
        mHighestEndedAttempts.clear();
        mUnacknowledgedEnds.clear();
        mHighestToken = 0;
        mLeaseDeadlineClockMillis = 0;
        mLastEndNumber = 0;
        mAcknowledgedEnd = 0;
        mIncarnationStartWallMillis = mLoop.wallMillis() + jumpMillis;
        mClockOriginMillis = mLoop.nowMillis();
    }

    /**
     * Returns the worker's entry in the registry.
     *
     * @return the entry
     */
    public WorkerEntry entry() {
        return new WorkerEntry(
                mId,
                mIncarnationStartWallMillis,
                "pool",
                address,
                new FailureDomainId("zone"),
                "rack",
                Set.of("kind", "rack"),
                mCapacity,
                draining,
                0,
                clockMillis());
    }

    /**
     * Returns the last ended run whose report was acknowledged.
     *
     * @return its number
     */
    public long acknowledgedEnd() {
        return mAcknowledgedEnd;
    }

    /**
     * Returns the running tasks.
     *
     * @return the tasks
     */
    public Set<TaskName> running() {
        return Set.copyOf(mRunning.keySet());
    }

    private long clockMillis() {
        return (mLoop.nowMillis() - mClockOriginMillis) * 98 / 100;
    }

    private void extendLeases(long deadlineClockMillis) {
        long longestMillis = clockMillis() + longestLeaseMillis;
        mLeaseDeadlineClockMillis =
                Math.max(mLeaseDeadlineClockMillis, Math.min(deadlineClockMillis, longestMillis));
    }

    /** Ends all runs, as when another member of their gang has ended. */
    public void breakGangs() {
        new ArrayList<>(mRunning.keySet()).forEach(task -> end(task, EndKind.GANG_BROKEN));
    }

    /** Ends all runs if the lease has lapsed. */
    public void expireLeases() {
        if (clockMillis() > mLeaseDeadlineClockMillis) {
            new ArrayList<>(mRunning.keySet()).forEach(task -> end(task, EndKind.LAPSED));
        }
    }

    private void end(TaskName task, EndKind kind) {
        Integer attempt = mRunning.remove(task);
        mStopping.remove(task);
        if (attempt != null) {
            mHighestEndedAttempts.merge(task, attempt, Math::max);
            mUnacknowledgedEnds.add(
                    new EndReport(++mLastEndNumber, task, attempt, kind, checkpoint));
            if (kind == EndKind.DONE) {
                done.add(task);
            }
        }
    }

    OrderOutcome start(StartOrder order) {
        expireLeases();
        if (order.fencingToken() < mHighestToken) {
            return new OrderOutcome.Rejected(Rejection.FENCED, clockMillis());
        }
        mHighestToken = order.fencingToken();
        extendLeases(order.deadlineClockMillis());
        maxOrderValidMillis =
                Math.max(maxOrderValidMillis, order.deadlineClockMillis() - clockMillis());
        if (clockMillis() > order.deadlineClockMillis()) {
            lateCount++;
            return new OrderOutcome.Rejected(Rejection.LATE, clockMillis());
        }
        if (order.attempt() <= mHighestEndedAttempts.getOrDefault(order.task(), 0)) {
            return new OrderOutcome.Rejected(Rejection.SUPERSEDED, clockMillis());
        }
        if (mRunning.putIfAbsent(order.task(), order.attempt()) == null) {
            refusesConnections |= refusesConnectionsAfterStart;
            started.add(order.task());
            startCheckpoints.add(order.checkpoint());
            mStartedMillis.put(order.task(), mLoop.nowMillis());
            long incarnationStartWallMillis = mIncarnationStartWallMillis;
            mLoop.schedule(taskMillis, () -> finish(order, incarnationStartWallMillis));
        }
        return new OrderOutcome.Done(omitsClock ? 0 : clockMillis());
    }

    private void finish(StartOrder order, long incarnationStartWallMillis) {
        expireLeases();
        Integer attempt = mRunning.get(order.task());
        if (incarnationStartWallMillis == mIncarnationStartWallMillis
                && attempt != null
                && attempt == order.attempt()) {
            end(order.task(), endKind);
        }
    }

    OrderOutcome stop(TaskName task, int attempt, long token) {
        stopCount++;
        if (token < mHighestToken) {
            return new OrderOutcome.Rejected(Rejection.FENCED, clockMillis());
        }
        mHighestToken = token;
        if (ignoredStopCount > 0) {
            ignoredStopCount--;
            return new OrderOutcome.Done(clockMillis());
        }
        Integer running = mRunning.get(task);
        if (running != null && running == attempt && stopMillis == 0) {
            end(task, EndKind.STOPPED);
        } else if (running != null && running == attempt && mStopping.add(task)) {
            mLoop.schedule(stopMillis, () -> end(task, EndKind.STOPPED));
        }
        mHighestEndedAttempts.merge(task, attempt, Math::max);
        return new OrderOutcome.Done(clockMillis());
    }

    PollOutcome poll(@Nullable Long deadlineClockMillis, long token, long acknowledgedEnd) {
        expireLeases();
        if (token < mHighestToken) {
            return new PollOutcome.Fenced();
        }
        mHighestToken = token;
        if (deadlineClockMillis != null) {
            extendLeases(deadlineClockMillis);
        }
        mAcknowledgedEnd = Math.max(mAcknowledgedEnd, acknowledgedEnd);
        mUnacknowledgedEnds.removeIf(end -> end.number() <= mAcknowledgedEnd);
        List<RunReport> running = new ArrayList<>();
        mRunning.forEach(
                (task, attempt) -> {
                    if (!mStopping.contains(task)) {
                        running.add(new RunReport(task, attempt, checkpoint, percent(task), load));
                    }
                });
        int listedCount = Math.min(MAX_LISTED_END_COUNT, mUnacknowledgedEnds.size());
        List<EndReport> ended = mUnacknowledgedEnds.subList(0, listedCount);
        return new PollOutcome.Seen(
                mIncarnationStartWallMillis,
                clockMillis(),
                running,
                List.copyOf(ended),
                ended.size() < MAX_LISTED_END_COUNT);
    }

    private int percent(TaskName task) {
        long workedMillis = mLoop.nowMillis() - mStartedMillis.getOrDefault(task, 0L);
        return (int) Math.min(99, 100 * workedMillis / taskMillis);
    }

    boolean hasUnacknowledgedEnds() {
        expireLeases();
        return !mUnacknowledgedEnds.isEmpty();
    }
}
