package org.hornbeamward.dispatch.fake;

/**
 * One process's connections to a worker. A connection takes one call at a time, and a worker may
 * limit the number of those that are open.
 */
final class WorkerConnections {
    private final SimulatedWorker mWorker;
    private int mIncarnation;
    private int mOpenCount;
    private int mIdleCount;

    WorkerConnections(SimulatedWorker worker) {
        mWorker = worker;
        mIncarnation = worker.incarnation();
    }

    /** Takes a connection that is open and idle; returns whether there is one. */
    boolean takeIdle() {
        forgetEndedIncarnation();
        if (mIdleCount == 0) {
            return false;
        }
        mIdleCount--;
        return true;
    }

    /** Takes an idle connection or opens one; returns false if the worker takes no further one. */
    boolean take() {
        if (takeIdle()) {
            return true;
        }
        if (!mWorker.openConnection()) {
            return false;
        }
        mOpenCount++;
        return true;
    }

    /**
     * Gives a connection back that may take the next call.
     *
     * @param incarnation the worker's incarnation to which it was open
     */
    void giveBack(int incarnation) {
        forgetEndedIncarnation();
        if (incarnation == mIncarnation && mOpenCount > 0) {
            mIdleCount++;
        }
    }

    /**
     * Closes a connection that a call has.
     *
     * @param incarnation the worker's incarnation to which it was open
     */
    void close(int incarnation) {
        forgetEndedIncarnation();
        if (incarnation == mIncarnation && mOpenCount > 0) {
            mOpenCount--;
            mWorker.closeConnections(1);
        }
    }

    /** Closes all connections, as at the end of the process. */
    void closeAll() {
        forgetEndedIncarnation();
        mWorker.closeConnections(mOpenCount);
        mOpenCount = 0;
        mIdleCount = 0;
    }

    private void forgetEndedIncarnation() {
        if (mWorker.incarnation() != mIncarnation) {
            mIncarnation = mWorker.incarnation();
            mOpenCount = 0;
            mIdleCount = 0;
        }
    }
}
