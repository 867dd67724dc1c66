package org.hornbeamward.pgm.entry;

import java.util.OptionalLong;
import org.hornbeamward.lib.MonotonicClock;

/**
 * Until when this member may act. Written by the control duty and checked by other threads at each
 * use, because all threads of a paused process wake at the same moment.
 */
final class ActivityWindow {
    private final MonotonicClock mClock;
    private volatile OptionalLong mUntilNanos = OptionalLong.empty();

    ActivityWindow(MonotonicClock clock) {
        mClock = clock;
    }

    void set(OptionalLong untilNanos) {
        mUntilNanos = untilNanos;
    }

    boolean isOpen() {
        OptionalLong until = mUntilNanos;
        return until.isPresent() && mClock.nowNanos() - until.getAsLong() < 0;
    }
}
