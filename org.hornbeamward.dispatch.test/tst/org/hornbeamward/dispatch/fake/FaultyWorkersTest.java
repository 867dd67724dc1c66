package org.hornbeamward.dispatch.fake;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.WorkerControl.EndKind;
import org.hornbeamward.dispatch.port.WorkerControl.OrderOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.PollOutcome;
import org.hornbeamward.dispatch.port.WorkerControl.StartOrder;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Faults of simulated workers. Guards against a random test whose faults have no effect. */
class FaultyWorkersTest {
    private static final TaskName TASK = new TaskName(new JobId("job"), 0, 0, 0);
    private static final long TIMEOUT_MILLIS = 900;

    private static final class EndCounter implements RunObserver {
        private int mEndCount;

        @Override
        public void started(
                TaskName task, int attempt, String incarnation, boolean late, long orderMillis) {}

        @Override
        public void ended(TaskName task, int attempt, String incarnation, @Nullable EndKind kind) {
            mEndCount++;
        }

        @Override
        public void acknowledged(TaskName task, int attempt, String incarnation) {}
    }

    private final VirtualLoop mLoop = new VirtualLoop();
    private final EndCounter mEnds = new EndCounter();
    private final SimulatedWorker mWorker =
            new SimulatedWorker(
                    mLoop,
                    "w",
                    6_000,
                    100,
                    new Random(1),
                    mEnds,
                    new SimulatedWorker.Workload() {
                        @Override
                        public long durationMillis(TaskName task, Random random) {
                            return 1_000_000;
                        }

                        @Override
                        public Resources size(TaskName task) {
                            return new Resources(1_000, 100, 0);
                        }
                    });
    private final FaultyWorkers mControl = new FaultyWorkers(mLoop, mLoop, Map.of("w", mWorker));

    private <T> T answer(CompletableFuture<T> call) {
        mLoop.advance(TIMEOUT_MILLIS);
        return call.join();
    }

    private void start() {
        StartOrder order =
                new StartOrder(TASK, 1, "", mWorker.entry().clockMillis() + 6_000, 1, "", "");
        assertInstanceOf(
                OrderOutcome.Done.class,
                answer(mControl.start(mWorker.entry(), order, TIMEOUT_MILLIS)));
    }

    private CompletableFuture<OrderOutcome> stop() {
        return mControl.stop(mWorker.entry(), TASK, 1, 1, TIMEOUT_MILLIS);
    }

    private PollOutcome poll() {
        return answer(mControl.poll(mWorker.entry(), null, 1, 0, 0, TIMEOUT_MILLIS));
    }

    private void addFault(SimulatedWorker.Fault fault, long millis) {
        mWorker.addFault(fault, 100, mLoop.nowMillis() + millis);
    }

    @Test
    void aMuteWorkerNeitherAnswersNorStopsARun() {
        start();
        addFault(SimulatedWorker.Fault.MUTE, TIMEOUT_MILLIS);
        assertInstanceOf(OrderOutcome.Unknown.class, answer(stop()));
        assertEquals(0, mEnds.mEndCount);
        assertInstanceOf(OrderOutcome.Done.class, answer(stop()));
        assertEquals(1, mEnds.mEndCount);
    }

    @Test
    void aSheddingWorkerAnswersThatItHasDoneNothing() {
        start();
        addFault(SimulatedWorker.Fault.SHED, TIMEOUT_MILLIS);
        assertInstanceOf(OrderOutcome.NotDone.class, answer(stop()));
        assertEquals(0, mEnds.mEndCount);
    }

    @Test
    void aResetCallHasNoAnswer() {
        addFault(SimulatedWorker.Fault.RESET, TIMEOUT_MILLIS);
        CompletableFuture<OrderOutcome> stop = stop();
        mLoop.advance(20);
        assertInstanceOf(OrderOutcome.Unknown.class, stop.join());
    }

    @Test
    void callsThatTimeOutFillAWorkerIfTheyKeepTheirConnections() {
        mWorker.maxConnectionCount = 2;
        mControl.timedOutCallsKeepConnections = true;
        addFault(SimulatedWorker.Fault.MUTE, 2 * TIMEOUT_MILLIS);
        answer(stop());
        answer(stop());
        assertInstanceOf(OrderOutcome.Unknown.class, answer(stop()));
        mControl.closeConnections();
        assertInstanceOf(OrderOutcome.Done.class, answer(stop()));
    }

    @Test
    void callsThatTimeOutLeaveAWorkerFreeIfTheyCloseTheirConnections() {
        mWorker.maxConnectionCount = 2;
        addFault(SimulatedWorker.Fault.MUTE, 2 * TIMEOUT_MILLIS);
        answer(stop());
        answer(stop());
        assertInstanceOf(OrderOutcome.Done.class, answer(stop()));
    }

    @Test
    void aPollKeepsTheLastConnectionOfAFullWorker() {
        mWorker.maxConnectionCount = 1;
        assertInstanceOf(PollOutcome.Seen.class, poll());
        CompletableFuture<PollOutcome> poll =
                mControl.poll(mWorker.entry(), null, 1, 0, 500, 500 + TIMEOUT_MILLIS);
        assertInstanceOf(OrderOutcome.Unknown.class, answer(stop()));
        assertInstanceOf(PollOutcome.Seen.class, poll.join());
    }

    @Test
    void aWorkerThatLosesFirstStopsCarriesOutTheSecondOne() {
        mWorker.losesFirstStops = true;
        start();
        assertInstanceOf(OrderOutcome.Done.class, answer(stop()));
        assertEquals(0, mEnds.mEndCount);
        assertInstanceOf(OrderOutcome.Done.class, answer(stop()));
        assertEquals(1, mEnds.mEndCount);
    }

    @Test
    void anOldListShowsARunThatHasEndedSince() {
        start();
        addFault(SimulatedWorker.Fault.OLD_LISTS, 5_000);
        CompletableFuture<PollOutcome> poll =
                mControl.poll(mWorker.entry(), null, 1, 0, 0, TIMEOUT_MILLIS);
        mLoop.advance(3);
        mWorker.dropLease();
        PollOutcome.Seen seen = assertInstanceOf(PollOutcome.Seen.class, answer(poll));
        assertEquals(1, seen.running().size());
    }

    /** Sends a stop while calls are held; its caller gives it up before that ends. */
    private void stopWhileCallsAreHeld(FaultyWorkers control) {
        addFault(SimulatedWorker.Fault.HELD, 2 * TIMEOUT_MILLIS);
        assertInstanceOf(
                OrderOutcome.Unknown.class,
                answer(control.stop(mWorker.entry(), TASK, 1, 1, TIMEOUT_MILLIS)));
        assertEquals(0, mEnds.mEndCount);
    }

    @Test
    void aHeldCallIsCarriedOutThoughItsCallerHasGivenItUp() {
        start();
        stopWhileCallsAreHeld(mControl);
        mLoop.advance(2 * TIMEOUT_MILLIS);
        assertEquals(1, mEnds.mEndCount);
    }

    @Test
    void aHeldCallIsCarriedOutThoughItsProcessHasEnded() {
        start();
        stopWhileCallsAreHeld(mControl);
        mControl.closeConnections();
        mLoop.advance(2 * TIMEOUT_MILLIS);
        assertEquals(1, mEnds.mEndCount);
    }

    @Test
    void aHeldCallIsLostIfItsCallerResetsTheConnection() {
        mControl.resetsConnections = true;
        start();
        stopWhileCallsAreHeld(mControl);
        mLoop.advance(2 * TIMEOUT_MILLIS);
        assertEquals(0, mEnds.mEndCount);
    }

    @Test
    void aHeldCallWithoutAnOpenConnectionIsSentOnlyWhileItsCallerWaits() {
        start();
        FaultyWorkers other = new FaultyWorkers(mLoop, mLoop, Map.of("w", mWorker));
        stopWhileCallsAreHeld(other);
        mLoop.advance(2 * TIMEOUT_MILLIS);
        assertEquals(0, mEnds.mEndCount);
        addFault(SimulatedWorker.Fault.HELD, TIMEOUT_MILLIS / 2);
        assertInstanceOf(
                OrderOutcome.Done.class,
                answer(other.stop(mWorker.entry(), TASK, 1, 1, TIMEOUT_MILLIS)));
        assertEquals(1, mEnds.mEndCount);
    }

    @Test
    void aProxyHoldsCallsWithoutAnOpenConnection() {
        start();
        FaultyWorkers other = new FaultyWorkers(mLoop, mLoop, Map.of("w", mWorker));
        other.proxyHoldsCalls = true;
        stopWhileCallsAreHeld(other);
        mLoop.advance(2 * TIMEOUT_MILLIS);
        assertEquals(1, mEnds.mEndCount);
    }

    @Test
    void aHeldCallIsLostIfTheWorkerRestarts() {
        start();
        mControl.proxyHoldsCalls = true;
        stopWhileCallsAreHeld(mControl);
        mWorker.crash();
        mWorker.startAgain();
        mLoop.advance(2 * TIMEOUT_MILLIS);
        start();
        PollOutcome.Seen seen = assertInstanceOf(PollOutcome.Seen.class, poll());
        assertEquals(1, seen.running().size());
    }

    @Test
    void aFaultOfOnePathLeavesThoseOfOtherProcesses() {
        start();
        FaultyWorkers other = new FaultyWorkers(mLoop, mLoop, Map.of("w", mWorker));
        long untilMillis = mLoop.nowMillis() + 10 * TIMEOUT_MILLIS;
        other.addLinkFault("w", SimulatedWorker.Fault.CUT, untilMillis);
        assertInstanceOf(
                PollOutcome.Failed.class,
                answer(other.poll(mWorker.entry(), null, 1, 0, 0, TIMEOUT_MILLIS)));
        assertInstanceOf(PollOutcome.Seen.class, poll());
    }
}
