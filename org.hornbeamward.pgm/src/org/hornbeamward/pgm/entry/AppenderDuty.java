package org.hornbeamward.pgm.entry;

import org.hornbeamward.command.JoinMember;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.storage.log.LogClient;
import org.jspecify.annotations.Nullable;

/** Runs the appender of the current incarnation. */
final class AppenderDuty implements Duty {
    private static final long IDLE_MILLIS = 5;

    private final LogClient mLog;
    private final MonotonicClock mClock;
    private volatile @Nullable Incarnation mCurrent;

    AppenderDuty(LogClient log, MonotonicClock clock) {
        mLog = log;
        mClock = clock;
    }

    /** Begins a new incarnation; what an older one had queued is not appended any more. */
    Incarnation begin(JoinMember place) {
        Incarnation incarnation = new Incarnation(place, mLog, mClock);
        mCurrent = incarnation;
        return incarnation;
    }

    @Nullable Incarnation current() {
        return mCurrent;
    }

    @Override
    public String name() {
        return "log-append";
    }

    @Override
    public void runOnce() throws InterruptedException {
        Incarnation incarnation = mCurrent;
        if (incarnation == null) {
            Thread.sleep(IDLE_MILLIS);
            return;
        }
        incarnation.appender().runOnce();
    }
}
