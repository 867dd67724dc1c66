package org.hornbeamward.dispatch.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import org.hornbeamward.dispatch.port.Loop;

/** The loop of one process that can be paused or killed while the clocks go on. */
public final class PausableLoop implements Loop {
    private final Loop mLoop;
    private final Deque<Runnable> mDeferred = new ArrayDeque<>();
    private boolean mPaused;
    private boolean mKilled;

    /**
     * Creates the loop of a process that runs.
     *
     * @param loop provides the clocks and timers
     */
    public PausableLoop(Loop loop) {
        mLoop = loop;
    }

    @Override
    public long nowMillis() {
        return mLoop.nowMillis();
    }

    @Override
    public long wallMillis() {
        return mLoop.wallMillis();
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        boolean[] cancelled = {false};
        mLoop.schedule(
                delayMillis,
                () ->
                        runOrDefer(
                                () -> {
                                    if (!cancelled[0]) {
                                        task.run();
                                    }
                                }));
        return () -> cancelled[0] = true;
    }

    private void runOrDefer(Runnable task) {
        if (mKilled) {
            return;
        }
        if (mPaused) {
            mDeferred.add(task);
        } else {
            task.run();
        }
    }

    /** Pauses the process. */
    public void pause() {
        mPaused = true;
    }

    /** Resumes the process; it handles what became due meanwhile. */
    public void resume() {
        mPaused = false;
        while (!mDeferred.isEmpty()) {
            runOrDefer(mDeferred.remove());
        }
    }

    /** Kills the process. */
    public void kill() {
        mKilled = true;
        mDeferred.clear();
    }
}
