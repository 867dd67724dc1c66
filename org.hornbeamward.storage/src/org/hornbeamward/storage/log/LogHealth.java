package org.hornbeamward.storage.log;

import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.event.LogEvent;

/**
 * Tracks whether the log service is available to one client. Logs only changes, so that a long
 * outage does not flood the log output of the process. Written by one thread and read by any
 * thread.
 */
final class LogHealth {
    private volatile boolean mUnavailable;

    boolean unavailable() {
        return mUnavailable;
    }

    void recordFailure(HornbeamwardError error) {
        if (!mUnavailable) {
            mUnavailable = true;
            LogEvent.LOG_UNAVAILABLE.log(error.message());
        }
    }

    void recordSuccess(Object offset) {
        if (mUnavailable) {
            mUnavailable = false;
            LogEvent.LOG_AVAILABLE.log(offset);
        }
    }
}
