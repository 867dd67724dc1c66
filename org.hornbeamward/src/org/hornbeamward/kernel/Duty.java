package org.hornbeamward.kernel;

/** An activity that the {@link Kernel} runs in a loop on a dedicated thread. */
public interface Duty {
    /**
     * Returns the name of the thread.
     *
     * @return a short name in lower case
     */
    String name();

    /**
     * Does the pending work and waits for more, for at most some tens of milliseconds. The duty's
     * thread calls it in a loop until the kernel stops.
     *
     * @throws InterruptedException if the kernel stops
     */
    void runOnce() throws InterruptedException;
}
