package org.hornbeamward.dispatch.port;

/**
 * The event loop of a process. All methods of the dispatcher are called on it, and all futures of
 * the ports complete on it.
 */
public interface Loop {
    /** A scheduled task that can be cancelled. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task if it has not started. */
        void cancel();
    }

    /**
     * Returns the time on the monotonic clock.
     *
     * @return milliseconds since an arbitrary origin; the clock stops while the machine is
     *     suspended
     */
    long nowMillis();

    /**
     * Returns the time of day.
     *
     * @return Unix milliseconds
     */
    long wallMillis();

    /**
     * Runs a task later.
     *
     * @param delayMillis delay on the monotonic clock
     * @param task what to run
     * @return a handle for cancelling it
     */
    Timer schedule(long delayMillis, Runnable task);
}
