package org.hornbeamward.storage;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for a condition; the limit only keeps a broken test from hanging. */
public final class Await {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private Await() {}

    /**
     * Waits until the condition holds.
     *
     * @param what shown if it never holds
     * @param condition the condition
     * @throws InterruptedException if interrupted
     */
    public static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long startedNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - startedNanos > LIMIT_NANOS) {
                throw new AssertionError("never happened: " + what);
            }
            Thread.sleep(2);
        }
    }
}
