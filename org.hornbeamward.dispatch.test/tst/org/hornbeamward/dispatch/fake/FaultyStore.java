package org.hornbeamward.dispatch.fake;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Topic;

/** One process's connection to a store, with faults that last for a while. */
public final class FaultyStore implements Store {
    /** A fault of the store or of the path to it. */
    public enum Fault {
        /** No call reaches the store. */
        CUT,
        /** Every append is refused. */
        REFUSED,
        /** Appends take up to 1.2 s. */
        SLOW,
        /** Half of the appends take effect without an answer. */
        UNANSWERED,
        /** Half of the appends take effect seconds later, without an answer. */
        LATE
    }

    private final Loop mBase;
    private final Loop mLoop;
    private final FakeStore mStore;
    private final Random mRandom;
    private final Map<Fault, Long> mFaultEndMillis = new EnumMap<>(Fault.class);

    /**
     * Creates a connection without faults.
     *
     * @param base provides the clocks and timers
     * @param loop loop of the process, on which answers arrive
     * @param store the store
     * @param random source of delays
     */
    public FaultyStore(Loop base, Loop loop, FakeStore store, Random random) {
        mBase = base;
        mLoop = loop;
        mStore = store;
        mRandom = random;
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

    private boolean has(Fault fault) {
        return mLoop.nowMillis() < mFaultEndMillis.getOrDefault(fault, 0L);
    }

    private <T> CompletableFuture<T> call(
            long delayMillis,
            boolean answered,
            long timeoutMillis,
            T unknown,
            Supplier<CompletableFuture<T>> action) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        mLoop.schedule(timeoutMillis, () -> answer.complete(unknown));
        mBase.schedule(
                delayMillis,
                () ->
                        action.get()
                                .thenAccept(
                                        outcome -> {
                                            if (answered) {
                                                mLoop.schedule(0, () -> answer.complete(outcome));
                                            }
                                        }));
        return answer;
    }

    @Override
    public CompletableFuture<AppendOutcome> append(
            Topic topic, List<KeyedRecord> records, Condition condition, long timeoutMillis) {
        AppendOutcome unknown = new AppendOutcome.Unknown("no answer");
        Supplier<CompletableFuture<AppendOutcome>> action =
                () -> mStore.append(topic, records, condition, timeoutMillis);
        if (has(Fault.CUT)) {
            return call(0, false, timeoutMillis, unknown, CompletableFuture::new);
        }
        if (has(Fault.REFUSED)) {
            return call(
                    8,
                    true,
                    timeoutMillis,
                    unknown,
                    () -> CompletableFuture.completedFuture(new AppendOutcome.Refused("refused")));
        }
        if (has(Fault.LATE) && mRandom.nextBoolean()) {
            return call(1_000 + mRandom.nextInt(4_000), false, timeoutMillis, unknown, action);
        }
        boolean answered = !has(Fault.UNANSWERED) || mRandom.nextBoolean();
        long delayMillis = has(Fault.SLOW) ? mRandom.nextInt(1_200) : 0;
        return call(delayMillis, answered, timeoutMillis, unknown, action);
    }

    @Override
    public CompletableFuture<ReadOutcome> read(
            Topic topic, long fromOffset, long waitMillis, long timeoutMillis) {
        return call(
                0,
                !has(Fault.CUT),
                timeoutMillis,
                new ReadOutcome.Unavailable("no answer"),
                () -> mStore.read(topic, fromOffset, waitMillis, timeoutMillis));
    }

    @Override
    public CompletableFuture<NewestOutcome> newest(
            Topic topic, String afterKey, long timeoutMillis) {
        return call(
                0,
                !has(Fault.CUT),
                timeoutMillis,
                new NewestOutcome.Unavailable("no answer"),
                () -> mStore.newest(topic, afterKey, timeoutMillis));
    }
}
