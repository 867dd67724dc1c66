package org.hornbeamward.pgm.entry;

import org.hornbeamward.command.JoinMember;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.storage.log.LogClient;
import org.jspecify.annotations.Nullable;

/** Runs the log appender of the current incarnation. */
final class AppenderDuty implements Duty {
    private static final long IDLE_MILLIS = 5;

    private final LogClient mLog;
    private final MonotonicClock mClock;
    private volatile @Nullable Incarnation mCurrent;

    AppenderDuty(LogClient log, MonotonicClock clock) {
        mLog = log;
        mClock = clock;
    }

    /** Begins a new incarnation. Commands still queued by the previous one are not appended. */
    Incarnation begin(JoinMember joinTemplate) {
        Incarnation incarnation = new Incarnation(joinTemplate, mLog, mClock);
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
