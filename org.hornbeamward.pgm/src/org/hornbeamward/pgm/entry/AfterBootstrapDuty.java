package org.hornbeamward.pgm.entry;

import org.hornbeamward.kernel.Duty;

/** Delays a duty until {@link Bootstrap} has loaded the state. */
final class AfterBootstrapDuty implements Duty {
    private static final long IDLE_MILLIS = 5;

    private final Duty mDuty;
    private final Bootstrap mBootstrap;

    AfterBootstrapDuty(Duty duty, Bootstrap bootstrap) {
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
