package org.hornbeamward.event;

import org.jspecify.annotations.Nullable;
import org.tinylog.Level;
import org.tinylog.Logger;

/**
 * The numbered log events. The catalogue in docs/log-events.md lists them; numbers are never
 * reused.
 */
public enum LogEvent {
    /** A duty threw an exception and runs on. */
    DUTY_FAILED(100, Level.ERROR, "duty {} failed and runs on"),
    /** A process has started. */
    PROCESS_STARTED(101, Level.INFO, "{} started"),
    /** A process is stopping. */
    PROCESS_STOPPING(102, Level.INFO, "{} is stopping: {}"),
    /** A process has stopped. */
    PROCESS_STOPPED(103, Level.INFO, "{} stopped"),
    /** The log cannot be read or written. */
    LOG_UNAVAILABLE(200, Level.WARN, "{}"),
    /** The log can be used again. */
    LOG_AVAILABLE(201, Level.INFO, "log is available again at offset {}"),
    /** A record cannot be decoded and is skipped. */
    RECORD_SKIPPED(202, Level.ERROR, "{}"),
    /** The state was loaded from a snapshot. */
    SNAPSHOT_LOADED(210, Level.INFO, "loaded snapshot {} at offset {}"),
    /** A snapshot was published. */
    SNAPSHOT_PUBLISHED(211, Level.INFO, "published snapshot {} at offset {} with {} bytes"),
    /** A snapshot was not used. */
    SNAPSHOT_IGNORED(212, Level.WARN, "{}"),
    /** Two members computed different states. */
    STATE_DIVERGED(213, Level.ERROR, "state digest at offset {} differs from snapshot {}"),
    /** This incarnation became a member. */
    MEMBER_JOINED(300, Level.INFO, "instance {} incarnation {} is a member at epoch {}"),
    /** A member was removed. */
    MEMBER_REMOVED(301, Level.WARN, "instance {} incarnation {} was removed at epoch {}"),
    /** A member is suspected. */
    MEMBER_SUSPECTED(302, Level.WARN, "instance {} is suspected: nothing heard for {} ms"),
    /** This member may not act. */
    MEMBER_INACTIVE(303, Level.WARN, "inactive: no fresh promise and no fresh log read"),
    /** This member may act again. */
    MEMBER_ACTIVE(304, Level.INFO, "active again"),
    /** A configuration is in force. */
    CONFIG_IN_FORCE(400, Level.INFO, "configuration version {} is in force"),
    /** A failure domain was taken out or brought back. */
    DOMAIN_CHANGED(401, Level.INFO, "failure domain {} in service: {}, version {}"),
    /** A job can never run. */
    JOB_REJECTED(500, Level.WARN, "job {} can never run: {}"),
    /** A worker is quarantined. */
    WORKER_QUARANTINED(501, Level.WARN, "worker {} is quarantined after failing tasks of {} jobs"),
    /** A worker was declared lost. */
    WORKER_LOST(502, Level.WARN, "worker {} incarnation {} is lost"),
    /** A worker refused a message. */
    WORKER_REFUSED(503, Level.WARN, "worker {} refused {}: {}"),
    /** The instance list was not used. */
    LIST_IGNORED(600, Level.WARN, "instance list is ignored: {}"),
    /** An endpoint is ejected after failures. */
    ENDPOINT_EJECTED(601, Level.WARN, "endpoint {} is ejected after {} failures"),
    /** An endpoint is used again. */
    ENDPOINT_RESTORED(602, Level.INFO, "endpoint {} is used again"),
    /** An endpoint is leaving. */
    ENDPOINT_LEAVING(603, Level.INFO, "endpoint {} is leaving and gets no new requests");

    private final int mNumber;
    private final Level mLevel;
    private final String mTemplate;

    LogEvent(int number, Level level, String template) {
        mNumber = number;
        mLevel = level;
        mTemplate = template;
    }

    /**
     * Returns the number.
     *
     * @return a number that never changes
     */
    public int number() {
        return mNumber;
    }

    /**
     * Returns the level.
     *
     * @return the tinylog level
     */
    public Level level() {
        return mLevel;
    }

    /**
     * Returns the message template.
     *
     * @return text with a pair of braces for each argument
     */
    public String template() {
        return mTemplate;
    }

    /**
     * Writes the event.
     *
     * @param arguments one for each pair of braces
     */
    public void log(Object... arguments) {
        write(null, arguments);
    }

    /**
     * Writes the event with an exception.
     *
     * @param cause the exception
     * @param arguments one for each pair of braces
     */
    public void log(Throwable cause, Object... arguments) {
        write(cause, arguments);
    }

    private void write(@Nullable Throwable cause, Object... arguments) {
        String message = "HW" + mNumber + " " + mTemplate;
        switch (mLevel) {
            case ERROR -> Logger.error(cause, message, arguments);
            case WARN -> Logger.warn(cause, message, arguments);
            default -> Logger.info(cause, message, arguments);
        }
    }
}
