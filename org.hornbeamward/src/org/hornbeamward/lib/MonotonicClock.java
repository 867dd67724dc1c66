package org.hornbeamward.lib;

/** A clock that never goes backwards and is unrelated to wall time. Thread-safe. */
@FunctionalInterface
public interface MonotonicClock {
    /** The clock of this process. */
    MonotonicClock SYSTEM = System::nanoTime;

    /**
     * Returns the current reading.
     *
     * @return nanoseconds since an arbitrary origin
     */
    long nowNanos();
}
