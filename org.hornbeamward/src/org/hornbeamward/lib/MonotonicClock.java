package org.hornbeamward.lib;

/** A clock that never goes back and is unrelated to wall time. Safe for use by any thread. */
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
