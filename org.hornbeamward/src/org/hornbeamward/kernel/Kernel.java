package org.hornbeamward.kernel;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import org.hornbeamward.event.LogEvent;

/** Loads plug-ins and runs duties, each on its own thread. */
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
     * Returns what the plug-ins registered.
     *
     * @return the registry
     */
    public PlugInRegistry registry() {
        return mRegistry;
    }

    /**
     * Starts a duty.
     *
     * @param duty the duty; a failure in it is logged and it runs on
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

    /** Stops all duties and waits up to a second for each. */
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
