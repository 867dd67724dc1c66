package org.hornbeamward.dispatch.fake;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.WorkerControl;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.Resources;
import org.jspecify.annotations.Nullable;

/** Worker control for fake workers, with response times and faults. */
public final class FakeWorkers implements WorkerControl {
    private static final long ANSWER_MILLIS = 3;

    /** Time after which an attempt to connect is given up. */
    private static final long CONNECT_MILLIS = 400;

    private final Loop mLoop;
    private final Map<String, FakeWorker> mWorkers = new LinkedHashMap<>();

    /**
     * Creates a worker control without workers.
     *
     * @param loop event loop that provides the clocks and timers
     */
    public FakeWorkers(Loop loop) {
        mLoop = loop;
    }

    /** Largest number of start orders that waited for an answer at the same time. */
    public int maxStartsInFlightCount;

    /** Address that the last call to each worker named, by the worker's id. */
    public final Map<String, String> lastAddresses = new LinkedHashMap<>();

    /** Number of polls. */
    public int pollCount;

    /** How often the calls in flight were given up. */
    public int abandonCount;

    private int mStartsInFlightCount;

    /**
     * Adds a worker.
     *
     * @param name id of the worker
     * @param cpuMillicores its processor capacity
     * @return the worker
     */
    public FakeWorker add(String name, long cpuMillicores) {
        return add(name, new Resources(cpuMillicores, 64_000, 0));
    }

    /**
     * Adds a worker.
     *
     * @param name id of the worker
     * @param capacity its capacity
     * @return the worker
     */
    public FakeWorker add(String name, Resources capacity) {
        FakeWorker worker = new FakeWorker(mLoop, name, capacity);
        mWorkers.put(name, worker);
        return worker;
    }

    /**
     * Returns a worker.
     *
     * @param name id of the worker
     * @return the worker
     */
    public FakeWorker get(String name) {
        return Objects.requireNonNull(mWorkers.get(name), name);
    }

    private <T> CompletableFuture<T> call(
            WorkerEntry entry,
            long timeoutMillis,
            T unreachableOutcome,
            T notConnectedOutcome,
            T addressTakenOutcome,
            Supplier<CompletableFuture<T>> action) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        FakeWorker worker = get(entry.id().value());
        lastAddresses.put(entry.id().value(), entry.address());
        if (worker.callsThrow) {
            throw new IllegalArgumentException("port 99999 is out of range");
        }
        if (worker.hasOneConnection) {
            if (worker.mConnectionInUse) {
                mLoop.schedule(ANSWER_MILLIS, () -> answer.complete(unreachableOutcome));
                return answer;
            }
            worker.mConnectionInUse = true;
            mLoop.schedule(
                    ANSWER_MILLIS,
                    () ->
                            action.get()
                                    .thenAccept(
                                            outcome -> {
                                                worker.mConnectionInUse = false;
                                                answer.complete(outcome);
                                            }));
            return answer;
        }
        if (!entry.address().equals(worker.address) && isAddressOfAnother(entry)) {
            mLoop.schedule(ANSWER_MILLIS, () -> answer.complete(addressTakenOutcome));
        } else if (worker.refusesConnections || !entry.address().equals(worker.address)) {
            mLoop.schedule(CONNECT_MILLIS, () -> answer.complete(notConnectedOutcome));
        } else if (worker.unreachable) {
            mLoop.schedule(timeoutMillis, () -> answer.complete(unreachableOutcome));
        } else if (worker.addressTaken) {
            mLoop.schedule(worker.addressTakenMillis, () -> answer.complete(addressTakenOutcome));
        } else {
            mLoop.schedule(ANSWER_MILLIS, () -> action.get().thenAccept(answer::complete));
        }
        return answer;
    }

    private boolean isAddressOfAnother(WorkerEntry entry) {
        return mWorkers.values().stream()
                .anyMatch(worker -> worker.address.equals(entry.address()));
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    @Override
    public CompletableFuture<OrderOutcome> start(
            WorkerEntry entry, StartOrder order, long timeoutMillis) {
        maxStartsInFlightCount = Math.max(maxStartsInFlightCount, ++mStartsInFlightCount);
        return send(entry, order, timeoutMillis)
                .whenComplete((outcome, failure) -> mStartsInFlightCount--);
    }

    private CompletableFuture<OrderOutcome> send(
            WorkerEntry entry, StartOrder order, long timeoutMillis) {
        FakeWorker worker = get(entry.id().value());
        if (worker.refusesStarts) {
            CompletableFuture<OrderOutcome> answer = new CompletableFuture<>();
            mLoop.schedule(
                    ANSWER_MILLIS, () -> answer.complete(new OrderOutcome.NotDone("unhealthy")));
            return answer;
        }
        if (worker.startDelayMillis > 0) {
            mLoop.schedule(worker.startDelayMillis, () -> worker.start(order));
            CompletableFuture<OrderOutcome> answer = new CompletableFuture<>();
            mLoop.schedule(
                    timeoutMillis, () -> answer.complete(new OrderOutcome.Unknown("no answer")));
            return answer;
        }
        return call(
                entry,
                timeoutMillis,
                new OrderOutcome.Unknown("unreachable"),
                new OrderOutcome.NotDone("not connected"),
                new OrderOutcome.OtherLife(),
                () -> completed(worker.start(order)));
    }

    @Override
    public CompletableFuture<OrderOutcome> stop(
            WorkerEntry entry, TaskName task, int attempt, long token, long timeoutMillis) {
        return call(
                entry,
                timeoutMillis,
                new OrderOutcome.Unknown("unreachable"),
                new OrderOutcome.NotDone("not connected"),
                new OrderOutcome.OtherLife(),
                () -> completed(get(entry.id().value()).stop(task, attempt, token)));
    }

    @Override
    public CompletableFuture<OrderOutcome> pace(
            WorkerEntry entry,
            TaskName task,
            int attempt,
            int percent,
            long token,
            long timeoutMillis) {
        FakeWorker worker = get(entry.id().value());
        worker.paces.put(task, percent);
        return completed(
                worker.losesPaceAnswers
                        ? new OrderOutcome.Unknown("answer lost")
                        : new OrderOutcome.Done(0));
    }

    @Override
    public CompletableFuture<PollOutcome> poll(
            WorkerEntry entry,
            @Nullable Long deadlineClockMillis,
            long token,
            long acknowledgedEnd,
            long waitMillis,
            long timeoutMillis) {
        pollCount++;
        FakeWorker worker = get(entry.id().value());
        if (worker.pollDelayMillis > 0) {
            mLoop.schedule(
                    worker.pollDelayMillis,
                    () -> worker.poll(deadlineClockMillis, token, acknowledgedEnd));
            CompletableFuture<PollOutcome> answer = new CompletableFuture<>();
            mLoop.schedule(
                    timeoutMillis, () -> answer.complete(new PollOutcome.Failed("no answer")));
            return answer;
        }
        return call(
                entry,
                timeoutMillis,
                new PollOutcome.Failed("unreachable"),
                new PollOutcome.NotSent("not connected"),
                new PollOutcome.OtherLife(),
                () -> {
                    PollOutcome first = worker.poll(deadlineClockMillis, token, acknowledgedEnd);
                    CompletableFuture<PollOutcome> answer = new CompletableFuture<>();
                    if (!(first instanceof PollOutcome.Seen) || waitMillis == 0) {
                        answer.complete(first);
                    } else {
                        long untilMillis = mLoop.nowMillis() + waitMillis;
                        awaitEnd(worker, token, acknowledgedEnd, untilMillis, answer);
                    }
                    return answer;
                });
    }

    private void awaitEnd(
            FakeWorker worker,
            long token,
            long acknowledgedEnd,
            long untilMillis,
            CompletableFuture<PollOutcome> answer) {
        if (worker.refusesConnections) {
            answer.complete(new PollOutcome.Failed("connection reset"));
        } else if (worker.hasUnacknowledgedEnds() || mLoop.nowMillis() >= untilMillis) {
            answer.complete(worker.poll(null, token, acknowledgedEnd));
        } else {
            mLoop.schedule(5, () -> awaitEnd(worker, token, acknowledgedEnd, untilMillis, answer));
        }
    }

    /** Counts only: the delays of calls are those of workers, which have received them. */
    @Override
    public void abandonCalls() {
        abandonCount++;
    }
}
