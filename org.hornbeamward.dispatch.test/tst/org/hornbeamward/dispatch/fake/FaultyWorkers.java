package org.hornbeamward.dispatch.fake;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.WorkerControl;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.jspecify.annotations.Nullable;

/** One process's connections to simulated workers, with the faults of the workers' paths. */
public final class FaultyWorkers implements WorkerControl {
    private static final int MAX_JITTER_MILLIS = 400;
    private static final int MAX_CONNECT_MILLIS = 400;
    private static final int MAX_LIST_AGE_MILLIS = 400;

    /** Time after the end of {@link SimulatedWorker.Fault#HELD} in which the calls arrive. */
    private static final int MAX_RELEASE_MILLIS = 20;

    /** What a call does on the worker; it passes the result on once there is one. */
    private interface Action<T> {
        void run(SimulatedWorker worker, boolean late, Consumer<T> answer);
    }

    /** The outcomes of a call that does not get its answer from the worker. */
    private record Failures<T>(T unknown, T notSent, T unhealthy, T otherWorker) {}

    private static final Failures<OrderOutcome> ORDER_FAILURES =
            new Failures<>(
                    new OrderOutcome.Unknown("no answer"),
                    new OrderOutcome.NotDone("refused"),
                    new OrderOutcome.NotDone("status 503"),
                    new OrderOutcome.OtherLife());

    private static final Failures<PollOutcome> POLL_FAILURES =
            new Failures<>(
                    new PollOutcome.Failed("no answer"),
                    new PollOutcome.NotSent("refused"),
                    new PollOutcome.Failed("status 503"),
                    new PollOutcome.OtherLife());

    /** A call and the connection that it has taken. */
    private final class Call<T> {
        private final CompletableFuture<T> mAnswer = new CompletableFuture<>();
        private final T mUnknown;
        private final int mClosedCount = FaultyWorkers.this.mClosedCount;
        private @Nullable WorkerConnections mTakenFrom;
        private int mIncarnation;

        Call(T unknown, long timeoutMillis) {
            mUnknown = unknown;
            mLoop.schedule(timeoutMillis, this::timeOut);
        }

        /** Takes a connection; returns false if the worker takes no further one. */
        boolean connect(SimulatedWorker worker) {
            WorkerConnections connections = connections(worker);
            if (!connections.take()) {
                return false;
            }
            noteTaken(connections, worker);
            return true;
        }

        /** Takes a connection that is open, if there is one; none can be opened. */
        void connectIfOpen(SimulatedWorker worker) {
            WorkerConnections connections = connections(worker);
            if (connections.takeIdle()) {
                noteTaken(connections, worker);
            }
        }

        private void noteTaken(WorkerConnections connections, SimulatedWorker worker) {
            mTakenFrom = connections;
            mIncarnation = worker.incarnation();
        }

        /** Ends the call; the next one may take its connection, also one that the caller sends. */
        void end(T outcome) {
            if (!mAnswer.isDone()) {
                if (mTakenFrom != null) {
                    mTakenFrom.giveBack(mIncarnation);
                }
                mAnswer.complete(outcome);
            }
        }

        /** Ends the call with its connection, whether it was carried out or not. */
        void reset() {
            if (!mAnswer.isDone()) {
                closeConnection();
                mAnswer.complete(mUnknown);
            }
        }

        /** Returns whether the caller has neither given the call up nor closed its connections. */
        boolean isAwaited() {
            return !mAnswer.isDone() && mClosedCount == FaultyWorkers.this.mClosedCount;
        }

        private void timeOut() {
            if (!mAnswer.isDone()) {
                if (!timedOutCallsKeepConnections) {
                    closeConnection();
                }
                mAnswer.complete(mUnknown);
            }
        }

        private void closeConnection() {
            if (mTakenFrom != null) {
                mTakenFrom.close(mIncarnation);
            }
        }
    }

    private final Loop mBase;
    private final Loop mLoop;
    private final Map<String, SimulatedWorker> mWorkers;
    private final Map<String, WorkerConnections> mConnections = new HashMap<>();
    private final Map<String, Map<SimulatedWorker.Fault, Long>> mLinkFaultEndMillis =
            new HashMap<>();
    private int mClosedCount;

    /** Whether a delayed order may be carried out by a later incarnation of its worker. */
    public boolean laterIncarnationsTakeOrders;

    /** Whether the connection of a call that has timed out stays open and takes no other call. */
    public boolean timedOutCallsKeepConnections;

    /** Whether the caller resets the connections that it gives up, so that held calls are lost. */
    public boolean resetsConnections;

    /**
     * Whether a proxy accepts connections while calls are held. Otherwise a call that needs a new
     * one is sent when the fault ends, and only if its caller still waits.
     */
    public boolean proxyHoldsCalls;

    /**
     * Creates connections.
     *
     * @param base provides the clocks and timers
     * @param loop loop of the process, on which answers arrive
     * @param workers the workers by their ids
     */
    public FaultyWorkers(Loop base, Loop loop, Map<String, SimulatedWorker> workers) {
        mBase = base;
        mLoop = loop;
        mWorkers = workers;
    }

    /** Closes all connections, as at the end of the process. */
    public void closeConnections() {
        mClosedCount++;
        mConnections.values().forEach(WorkerConnections::closeAll);
    }

    /**
     * Starts or prolongs a fault of the path from this process to a worker.
     *
     * @param worker id of the worker
     * @param fault {@link SimulatedWorker.Fault#CUT} or {@link SimulatedWorker.Fault#HELD}
     * @param untilMillis monotonic time at which it ends
     */
    public void addLinkFault(String worker, SimulatedWorker.Fault fault, long untilMillis) {
        mLinkFaultEndMillis
                .computeIfAbsent(worker, name -> new EnumMap<>(SimulatedWorker.Fault.class))
                .merge(fault, untilMillis, Math::max);
    }

    private long faultEndMillis(SimulatedWorker worker, SimulatedWorker.Fault fault) {
        Map<SimulatedWorker.Fault, Long> ofLink =
                mLinkFaultEndMillis.getOrDefault(worker.name(), Map.of());
        return Math.max(worker.faultEndMillis(fault), ofLink.getOrDefault(fault, 0L));
    }

    private boolean isCut(SimulatedWorker worker) {
        return mBase.nowMillis() < faultEndMillis(worker, SimulatedWorker.Fault.CUT);
    }

    private boolean isHeld(SimulatedWorker worker) {
        return mBase.nowMillis() < faultEndMillis(worker, SimulatedWorker.Fault.HELD);
    }

    private WorkerConnections connections(SimulatedWorker worker) {
        return mConnections.computeIfAbsent(worker.name(), name -> new WorkerConnections(worker));
    }

    private <T> CompletableFuture<T> call(
            WorkerEntry entry, long timeoutMillis, Failures<T> failures, Action<T> action) {
        Call<T> call = new Call<>(failures.unknown(), timeoutMillis);
        SimulatedWorker worker = mWorkers.get(entry.address());
        if (worker == null) {
            mLoop.schedule(0, () -> call.end(failures.notSent()));
        } else {
            send(worker, call, failures, action);
        }
        return call.mAnswer;
    }

    private <T> void send(
            SimulatedWorker worker, Call<T> call, Failures<T> failures, Action<T> action) {
        if (worker.has(SimulatedWorker.Fault.REFUSED)) {
            mLoop.schedule(
                    worker.random().nextInt(MAX_CONNECT_MILLIS),
                    () -> call.end(failures.notSent()));
        } else if (isCut(worker)) {
            call.connectIfOpen(worker);
        } else if (isHeld(worker)) {
            hold(worker, call, failures, action);
        } else if (worker.has(SimulatedWorker.Fault.OTHER_WORKER)) {
            deliver(worker, () -> call.end(failures.otherWorker()));
        } else if (!worker.isUp()) {
            deliver(worker, () -> call.end(failures.notSent()));
        } else if (worker.has(SimulatedWorker.Fault.UNHEALTHY)) {
            deliver(worker, () -> call.end(failures.unhealthy()));
        } else if (!call.connect(worker)) {
            deliver(worker, call::reset);
        } else if (worker.strikes(SimulatedWorker.Fault.SHED)) {
            deliver(worker, () -> call.end(failures.unhealthy()));
        } else if (!worker.strikes(SimulatedWorker.Fault.MUTE)) {
            boolean reset = worker.strikes(SimulatedWorker.Fault.RESET);
            if (reset && worker.random().nextBoolean()) {
                deliver(worker, call::reset);
            } else {
                carryOut(worker, call, reset, action);
            }
        }
    }

    /** Keeps a call until the fault ends. */
    private <T> void hold(
            SimulatedWorker worker, Call<T> call, Failures<T> failures, Action<T> action) {
        call.connectIfOpen(worker);
        if (call.mTakenFrom != null || proxyHoldsCalls) {
            release(worker, call, worker.incarnation(), action);
        } else {
            afterHeld(
                    worker,
                    () -> {
                        if (call.isAwaited()) {
                            send(worker, call, failures, action);
                        }
                    });
        }
    }

    /** Carries out a call that is held on an open connection once the fault has ended. */
    private <T> void release(
            SimulatedWorker worker, Call<T> call, int incarnation, Action<T> action) {
        if (isHeld(worker)) {
            afterHeld(worker, () -> release(worker, call, incarnation, action));
            return;
        }
        boolean sameProcess = worker.incarnation() == incarnation || laterIncarnationsTakeOrders;
        if (!worker.isUp() || !sameProcess) {
            mLoop.schedule(1, call::reset);
        } else if (!isCut(worker) && (call.isAwaited() || !resetsConnections)) {
            action.run(
                    worker,
                    true,
                    outcome -> answer(worker, worker.incarnation(), () -> call.end(outcome)));
        }
    }

    /** Delivers an answer, after the end of the fault if answers are held. */
    private void answer(SimulatedWorker worker, int incarnation, Runnable end) {
        if (isHeld(worker)) {
            afterHeld(worker, () -> answer(worker, incarnation, end));
        } else if (answers(worker, incarnation)) {
            deliver(worker, end);
        }
    }

    private void afterHeld(SimulatedWorker worker, Runnable action) {
        long leftMillis = faultEndMillis(worker, SimulatedWorker.Fault.HELD) - mBase.nowMillis();
        mBase.schedule(leftMillis + worker.random().nextInt(MAX_RELEASE_MILLIS), action);
    }

    private <T> void carryOut(
            SimulatedWorker worker, Call<T> call, boolean reset, Action<T> action) {
        boolean late =
                worker.has(SimulatedWorker.Fault.LATE_CALLS) && worker.random().nextBoolean();
        long delayMillis = late ? 2_000 + worker.random().nextInt(10_000) : pathMillis(worker);
        int incarnation = worker.incarnation();
        mBase.schedule(
                delayMillis,
                () -> {
                    boolean sameProcess =
                            worker.incarnation() == incarnation || laterIncarnationsTakeOrders;
                    if (!late && isHeld(worker)) {
                        release(worker, call, incarnation, action);
                    } else if (!worker.isUp() || !sameProcess) {
                        mLoop.schedule(1, call::reset);
                    } else if (late || !isCut(worker)) {
                        action.run(
                                worker,
                                late,
                                outcome -> {
                                    if (!late) {
                                        Runnable end =
                                                reset ? call::reset : () -> call.end(outcome);
                                        answer(worker, incarnation, end);
                                    }
                                });
                    }
                });
    }

    /** Sends an order, which a worker that is up may refuse or leave without an answer. */
    private CompletableFuture<OrderOutcome> order(
            WorkerEntry entry, long timeoutMillis, boolean start, Action<OrderOutcome> action) {
        SimulatedWorker worker = mWorkers.get(entry.address());
        if (worker != null && worker.isUp()) {
            boolean hangs =
                    worker.has(SimulatedWorker.Fault.ORDERS_HANG)
                            || (start && worker.has(SimulatedWorker.Fault.STARTS_HANG));
            boolean refuses = start && worker.has(SimulatedWorker.Fault.STARTS_REFUSED);
            if (hangs || refuses) {
                Call<OrderOutcome> call = new Call<>(ORDER_FAILURES.unknown(), timeoutMillis);
                if (!call.connect(worker)) {
                    deliver(worker, call::reset);
                } else if (!hangs) {
                    deliver(worker, () -> call.end(ORDER_FAILURES.unhealthy()));
                }
                return call.mAnswer;
            }
        }
        return call(entry, timeoutMillis, ORDER_FAILURES, action);
    }

    private boolean answers(SimulatedWorker worker, int incarnation) {
        return worker.incarnation() == incarnation
                && worker.isUp()
                && !isCut(worker)
                && !worker.has(SimulatedWorker.Fault.ANSWERS_LOST);
    }

    private long pathMillis(SimulatedWorker worker) {
        return worker.has(SimulatedWorker.Fault.JITTER)
                ? worker.random().nextInt(MAX_JITTER_MILLIS)
                : 1 + worker.random().nextInt(2);
    }

    private void deliver(SimulatedWorker worker, Runnable answer) {
        mLoop.schedule(pathMillis(worker), answer);
    }

    @Override
    public CompletableFuture<OrderOutcome> start(
            WorkerEntry entry, StartOrder order, long timeoutMillis) {
        long sentMillis = mBase.nowMillis();
        return order(
                entry,
                timeoutMillis,
                true,
                (worker, late, answer) -> answer.accept(worker.start(order, late, sentMillis)));
    }

    @Override
    public CompletableFuture<OrderOutcome> stop(
            WorkerEntry entry, TaskName task, int attempt, long token, long timeoutMillis) {
        return order(
                entry,
                timeoutMillis,
                false,
                (worker, late, answer) -> answer.accept(worker.stop(task, attempt, token)));
    }

    @Override
    public CompletableFuture<OrderOutcome> pace(
            WorkerEntry entry,
            TaskName task,
            int attempt,
            int percent,
            long token,
            long timeoutMillis) {
        return CompletableFuture.completedFuture(new OrderOutcome.Done(0));
    }

    @Override
    public CompletableFuture<PollOutcome> poll(
            WorkerEntry entry,
            @Nullable Long deadlineClockMillis,
            long token,
            long acknowledgedEnd,
            long waitMillis,
            long timeoutMillis) {
        return call(
                entry,
                timeoutMillis,
                POLL_FAILURES,
                (worker, late, answer) -> {
                    PollOutcome refusal =
                            worker.beginPoll(deadlineClockMillis, token, acknowledgedEnd);
                    if (refusal != null) {
                        answer.accept(refusal);
                    } else {
                        awaitEnd(
                                worker,
                                worker.incarnation(),
                                mBase.nowMillis() + waitMillis,
                                answer);
                    }
                });
    }

    private void awaitEnd(
            SimulatedWorker worker,
            int incarnation,
            long untilMillis,
            Consumer<PollOutcome> answer) {
        if (worker.incarnation() != incarnation || !worker.isUp()) {
            return;
        }
        if (worker.hasEnds() || mBase.nowMillis() >= untilMillis) {
            PollOutcome lists = worker.lists();
            if (worker.has(SimulatedWorker.Fault.OLD_LISTS)) {
                mBase.schedule(
                        worker.random().nextInt(MAX_LIST_AGE_MILLIS), () -> answer.accept(lists));
            } else {
                answer.accept(lists);
            }
        } else {
            mBase.schedule(5, () -> awaitEnd(worker, incarnation, untilMillis, answer));
        }
    }

    /** Does nothing: a call is delayed by its worker, which has received it, or not delivered. */
    @Override
    public void abandonCalls() {}
}
