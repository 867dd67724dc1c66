package org.hornbeamward.pgm.entry;

import org.hornbeamward.kernel.Duty;

/** Runs a duty once the state is loaded. */
final class StartedWhenLoaded implements Duty {
    private static final long IDLE_MILLIS = 5;

    private final Duty mDuty;
    private final Bootstrap mBootstrap;

    StartedWhenLoaded(Duty duty, Bootstrap bootstrap) {
        mDuty = duty;
        mBootstrap = bootstrap;
    }

    @Override
    public String name() {
        return mDuty.name();
    }

    @Override
    public void runOnce() throws InterruptedException {
        if (!mBootstrap.loaded()) {
            Thread.sleep(IDLE_MILLIS);
            return;
        }
        mDuty.runOnce();
    }
}
