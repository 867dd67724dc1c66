package org.hornbeamward.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import org.hornbeamward.event.LogEvent;

/** Loads plug-ins and runs duties, each on a dedicated thread. */
public final class Kernel implements AutoCloseable {
    private final PlugInRegistry mRegistry = new PlugInRegistry();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopping;

    /** Creates a kernel with every plug-in on the class path. */
    public Kernel() {
        for (PlugIn plugIn : ServiceLoader.load(PlugIn.class)) {
            plugIn.register(mRegistry);
        }
    }

    /**
     * Returns the registry of all plug-ins.
     *
     * @return the registry
     */
    public PlugInRegistry registry() {
        return mRegistry;
    }

    /**
     * Starts a duty.
     *
     * @param duty the duty; an exception that it throws is logged and the duty keeps running
     */
    public synchronized void start(Duty duty) {
        Thread thread = new Thread(() -> run(duty), duty.name());
        thread.setDaemon(true);
        mThreads.add(thread);
        thread.start();
    }

    private void run(Duty duty) {
        while (!mStopping) {
            try {
                duty.runOnce();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                LogEvent.DUTY_FAILED.log(e, duty.name());
            }
        }
    }

    /** Stops all duties and waits up to one second for each thread to end. */
    @Override
    public synchronized void close() {
        mStopping = true;
        mThreads.forEach(Thread::interrupt);
        for (Thread thread : mThreads) {
            try {
                thread.join(1_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
