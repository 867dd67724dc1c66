package org.hornbeamward.kernel;

/** One activity with a thread of its own. */
public interface Duty {
    /**
     * Returns the name of the thread.
     *
     * @return a short name in lower case
     */
    String name();

    /**
     * Does the work that is due and waits for more, at most some tens of milliseconds. Called again
     * and again by the duty's thread until the kernel stops.
     *
     * @throws InterruptedException if the kernel stops
     */
    void runOnce() throws InterruptedException;
}
