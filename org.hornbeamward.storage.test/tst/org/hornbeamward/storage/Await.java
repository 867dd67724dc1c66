package org.hornbeamward.storage;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for a condition; the timeout only keeps a failing test from hanging. */
public final class Await {
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private Await() {}

    /**
     * Waits until the condition holds. Throws an {@link AssertionError} after the timeout.
     *
     * @param what description of the condition, shown if it does not hold in time
     * @param condition the condition
     * @throws InterruptedException if interrupted
     */
    public static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long startedNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startedNanos > TIMEOUT_NANOS) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            Thread.sleep(2);
        }
    }
}
