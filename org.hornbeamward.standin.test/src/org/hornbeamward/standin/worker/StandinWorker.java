package org.hornbeamward.standin.worker;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.hornbeamward.transport.link.Link;
import org.hornbeamward.transport.link.LinkCounters;
import org.hornbeamward.transport.link.LinkHandler;
import org.hornbeamward.transport.link.LinkServer;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.TaskReport;
import org.hornbeamward.transport.message.WorkerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in worker that listens for supervisors. Its agent runs on the given executor; public
 * methods may be called from any thread.
 *
 * <p>A paused worker behaves like a suspended process: it neither replies nor runs its tasks, and
 * handles the messages received meanwhile when the pause ends.
 */
public final class StandinWorker implements AutoCloseable {
    private static final long TICK_MILLIS = 50;
    private static final int MAX_DEFERRED_COUNT = 100_000;

    private final WorkerIdentity mIdentity;
    private final long mSeed;
    private final EventRecord mEvents;
    private final ScheduledExecutorService mExecutor;
    private final LinkServer mServer;
    private final Deque<Runnable> mDeferredMessages = new ArrayDeque<>();
    private WorkerAgent mAgent;
    private @Nullable Link mSupervisor;
    private boolean mPaused;
    private boolean mLoseReports;
    private boolean mFailStarts;

    /**
     * Starts the worker.
     *
     * @param eventLoops event loops of the links; the caller stops them
     * @param executor single thread that runs the agents; the caller stops it
     * @param host address to bind
     * @param port port to bind, 0 for any free one
     * @param identity identity that the worker reports
     * @param seed seed of run times, slowdowns and noise
     * @param events receives the worker's events
     * @throws InterruptedException if interrupted while binding
     */
    public StandinWorker(
            EventLoopGroup eventLoops,
            ScheduledExecutorService executor,
            String host,
            int port,
            WorkerIdentity identity,
            long seed,
            EventRecord events)
            throws InterruptedException {
        mIdentity = identity;
        mSeed = seed;
        mEvents = events;
        mExecutor = executor;
        mAgent = newAgent();
        mServer = new LinkServer(eventLoops, host, port, new Handler(), new LinkCounters());
        executor.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the bound port.
     *
     * @return the port number
     */
    public int port() {
        return mServer.port();
    }

    /**
     * Returns the identity that the worker reports.
     *
     * @return the identity
     */
    public WorkerIdentity identity() {
        return mIdentity;
    }

    /**
     * Changes the faults.
     *
     * @param faults the changes; fields that are null leave a fault unchanged
     */
    public void apply(WorkerFaults faults) {
        mExecutor.execute(() -> applyFaults(faults));
    }

    /** Stops listening; the agent keeps running on the executor. */
    @Override
    public void close() {
        mServer.close();
    }

    private void applyFaults(WorkerFaults faults) {
        if (faults.failStarts() != null) {
            mFailStarts = faults.failStarts();
            mAgent.setFailStarts(mFailStarts);
        }
        if (faults.loseReports() != null) {
            mLoseReports = faults.loseReports();
        }
        if (faults.restart()) {
            restart();
        }
        if (faults.dropLinks()) {
            mServer.dropLinks();
        }
        if (faults.paused() != null && faults.paused() != mPaused) {
            setPaused(faults.paused());
        }
    }

    private void setPaused(boolean paused) {
        mPaused = paused;
        recordEvent(paused ? WorkerEvent.Kind.PAUSED : WorkerEvent.Kind.UNPAUSED);
        while (!mPaused && !mDeferredMessages.isEmpty()) {
            mDeferredMessages.removeFirst().run();
        }
    }

    /** Starts a new incarnation without the tasks, as tasks end with the worker's process. */
    private void restart() {
        mServer.dropLinks();
        mSupervisor = null;
        mDeferredMessages.clear();
        mAgent = newAgent();
        mAgent.setFailStarts(mFailStarts);
        recordEvent(WorkerEvent.Kind.RESTARTED);
    }

    private WorkerAgent newAgent() {
        long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        return new WorkerAgent(mIdentity, incarnation, mSeed, mEvents, nowMillis());
    }

    private void recordEvent(WorkerEvent.Kind kind) {
        mEvents.add(
                new WorkerEvent(
                        mIdentity.worker().value(),
                        mAgent.incarnation(),
                        kind,
                        "",
                        0,
                        0,
                        "",
                        mAgent.committed(),
                        nowMillis(),
                        System.currentTimeMillis()));
    }

    private void tick() {
        if (!mPaused) {
            send(mSupervisor, mAgent.tick(nowMillis()));
        }
    }

    private void onMessage(Link link, WorkerMessage message) {
        if (mPaused && mDeferredMessages.size() < MAX_DEFERRED_COUNT) {
            mDeferredMessages.addLast(() -> onMessage(link, message));
        } else if (!mPaused) {
            List<WorkerMessage> answers = mAgent.onMessage(message, nowMillis());
            if (mAgent.accepted()) {
                mSupervisor = link;
            }
            send(link, answers);
        }
    }

    private void send(@Nullable Link link, List<WorkerMessage> messages) {
        if (link == null) {
            return;
        }
        for (WorkerMessage message : messages) {
            if (!(mLoseReports && message instanceof TaskReport)) {
                link.send(message);
            }
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private final class Handler implements LinkHandler {
        @Override
        public void onMessage(Link link, Message message) {
            if (message instanceof WorkerMessage workerMessage) {
                mExecutor.execute(() -> StandinWorker.this.onMessage(link, workerMessage));
            }
        }

        @Override
        public void onClosed(Link link) {
            mExecutor.execute(
                    () -> {
                        if (mSupervisor == link) {
                            mSupervisor = null;
                        }
                    });
        }
    }
}
