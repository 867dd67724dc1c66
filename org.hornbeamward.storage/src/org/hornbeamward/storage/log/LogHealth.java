package org.hornbeamward.storage.log;

import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.event.LogEvent;

/**
 * Whether the log answers one client. Reports only changes, so that a long outage does not fill the
 * program's own log. Written by one thread and read by any.
 */
final class LogHealth {
    private volatile boolean mUnavailable;

    boolean unavailable() {
        return mUnavailable;
    }

    void failed(HornbeamwardError error) {
        if (!mUnavailable) {
            mUnavailable = true;
            LogEvent.LOG_UNAVAILABLE.log(error.message());
        }
    }

    void answered(Object offset) {
        if (mUnavailable) {
            mUnavailable = false;
            LogEvent.LOG_AVAILABLE.log(offset);
        }
    }
}
