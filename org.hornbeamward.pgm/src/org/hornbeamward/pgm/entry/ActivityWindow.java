package org.hornbeamward.pgm.entry;

import java.util.OptionalLong;
import org.hornbeamward.lib.MonotonicClock;

/**
 * The time until which this member is allowed to act. Set by the control duty and checked by other
 * threads at each use: after a process pause all threads resume at once, so they cannot rely on the
 * control duty having run first.
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
