package org.hornbeamward.event;

import org.jspecify.annotations.Nullable;
import org.tinylog.Level;
import org.tinylog.Logger;

/**
 * The numbered log events. The catalogue in docs/log-events.md lists them; numbers are never
 * reused.
 */
public enum LogEvent {
    /** A duty threw an exception and keeps running. */
    DUTY_FAILED(100, Level.ERROR, "duty {} failed and runs on"),
    /** A process has started. */
    PROCESS_STARTED(101, Level.INFO, "{} started"),
    /** A process is stopping. */
    PROCESS_STOPPING(102, Level.INFO, "{} is stopping: {}"),
    /** A process has stopped. */
    PROCESS_STOPPED(103, Level.INFO, "{} stopped"),
    /** Changed settings were reloaded. */
    SETTINGS_READ(104, Level.INFO, "settings of {} read again"),
    /** Changed settings were rejected and are not applied. */
    SETTINGS_REFUSED(105, Level.ERROR, "changed settings are not used: {}"),
    /** Log lines were dropped. */
    LOG_DROPPED(106, Level.WARN, "{} log lines were dropped"),
    /** The event loop ran its tasks late. */
    LOOP_DELAYED(107, Level.WARN, "the event loop was up to {} ms late within {} ms"),
    /** A process ends although requests are open. */
    REQUESTS_CUT(108, Level.WARN, "{} ends with {} requests open"),
    /** The log cannot be read or written. */
    LOG_UNAVAILABLE(200, Level.WARN, "{}"),
    /** The log can be read or written again. */
    LOG_AVAILABLE(201, Level.INFO, "log is available again at offset {}"),
    /** A record cannot be decoded and is skipped. */
    RECORD_SKIPPED(202, Level.ERROR, "{}"),
    /** The state was loaded from a snapshot. */
    SNAPSHOT_LOADED(210, Level.INFO, "loaded snapshot {} at offset {}"),
    /** A snapshot was published. */
    SNAPSHOT_PUBLISHED(211, Level.INFO, "published snapshot {} at offset {} with {} bytes"),
    /** A snapshot cannot be used and was ignored. */
    SNAPSHOT_IGNORED(212, Level.WARN, "{}"),
    /** Two members computed different states from the same log. */
    STATE_DIVERGED(213, Level.ERROR, "state digest at offset {} differs from snapshot {}"),
    /** The records that a topic reader needs are no longer retained; it reloads the topic. */
    HISTORY_GONE(214, Level.WARN, "topic {} has lost its history at offset {}; loading it anew"),
    /** An incarnation of an instance became a member. */
    MEMBER_JOINED(300, Level.INFO, "instance {} incarnation {} is a member at epoch {}"),
    /** A member was removed. */
    MEMBER_REMOVED(301, Level.WARN, "instance {} incarnation {} was removed at epoch {}"),
    /** A member is suspected. */
    MEMBER_SUSPECTED(302, Level.WARN, "instance {} is suspected: nothing heard for {} ms"),
    /** This member became inactive and may not act. */
    MEMBER_INACTIVE(303, Level.WARN, "inactive: no fresh promise and no fresh log read"),
    /** This member became active and may act again. */
    MEMBER_ACTIVE(304, Level.INFO, "active again"),
    /** This entry became the leader. */
    LEADER_ELECTED(310, Level.INFO, "leads at epoch {}: {}"),
    /** A new leader has loaded its state. */
    LEADER_READY(311, Level.INFO, "epoch {} has loaded {} jobs, {} live runs and {} workers"),
    /** This entry no longer leads. */
    LEADER_DEPOSED(312, Level.WARN, "no longer leads at epoch {}: {}"),
    /** The store has refused the resignation of this entry, which leads on. */
    LEADER_LEADS_ON(316, Level.INFO, "leads on at epoch {}, since it cannot resign yet: {}"),
    /** Another entry leads. */
    LEADER_CHANGED(313, Level.INFO, "entry {} leads at epoch {}"),
    /** No message was received on the leader's feed for too long. */
    FEED_LOST(314, Level.WARN, "nothing heard from leader {} for {} ms"),
    /** Messages are received on the leader's feed. */
    FEED_RESTORED(315, Level.INFO, "feed of leader {} is up"),
    /** A configuration version took effect. */
    CONFIG_IN_FORCE(400, Level.INFO, "configuration version {} is in force"),
    /** An operator's record changed. */
    OPERATOR_RECORD(402, Level.INFO, "operator record {} is {}"),
    /** A client account of the configuration, or a key of it, is not used. */
    ACCOUNT_SKIPPED(403, Level.ERROR, "client account {} is not used: {}"),
    /** A failure domain was taken out of service or brought back. */
    DOMAIN_CHANGED(401, Level.INFO, "failure domain {} in service: {}, version {}"),
    /** A job was rejected because it can never run. */
    JOB_REJECTED(500, Level.WARN, "job {} can never run: {}"),
    /** A worker was quarantined. */
    WORKER_QUARANTINED(501, Level.WARN, "worker {} is quarantined after failing tasks of {} jobs"),
    /** A worker was declared lost. */
    WORKER_LOST(502, Level.WARN, "worker {} incarnation {} is lost"),
    /** A worker refused a message. */
    WORKER_REFUSED(503, Level.WARN, "worker {} refused {}: {}"),
    /** A worker does not answer. */
    WORKER_SILENT(504, Level.WARN, "worker {} does not answer: {}"),
    /** A worker answers again. */
    WORKER_REACHED(505, Level.INFO, "worker {} answers again after {} attempts"),
    /** A worker is draining. */
    WORKER_DRAINING(506, Level.INFO, "worker {} is leaving in {} ms at the earliest"),
    /** A worker has started again under its id. */
    WORKER_RESTARTED(
            507,
            Level.WARN,
            "worker {} incarnation {} has restarted as {}; {} runs ended, {} may be present"),
    /** A job was stored. */
    JOB_ACCEPTED(510, Level.INFO, "job {} accepted for queue {} after {} ms"),
    /** A request was refused. */
    REQUEST_REFUSED(511, Level.INFO, "request for job {} refused with {}: {}"),
    /** A worker is ordered to start a task. */
    TASK_ORDERED(
            512, Level.INFO, "task {} attempt {} ordered on worker {} incarnation {} at epoch {}"),
    /** A run has ended. */
    TASK_ENDED(513, Level.INFO, "task {} attempt {} on worker {} incarnation {} ended: {}"),
    /** A job reached its final phase. */
    JOB_ENDED(514, Level.INFO, "job {} is {} after {} ms"),
    /** A job is cancelled. */
    JOB_CANCELLED(515, Level.INFO, "job {} is cancelled; {} runs to stop"),
    /** A run disappeared without an end report. */
    RUN_GONE(516, Level.INFO, "run {} is gone: {}"),
    /** An order to a worker got no answer. */
    ORDER_UNANSWERED(517, Level.WARN, "order {} for {} got no answer: {}"),
    /** A worker rejected an order. */
    ORDER_REJECTED(518, Level.WARN, "order {} for {} was rejected: {}"),
    /** A worker reports a run that the leader does not know; the run is stopped. */
    UNKNOWN_RUN(
            519,
            Level.WARN,
            "task {} attempt {} is stopped on worker {} incarnation {}: nothing is known of it"),
    /** The pace of a run is changed. */
    RUN_PACED(520, Level.INFO, "run {} is paced from {} to {} percent"),
    /** A filler is stopped to resume on another worker. */
    FILLER_MOVED(522, Level.INFO, "run {} at {} percent is stopped to resume elsewhere"),
    /** Runs on a worker advance much more slowly than the other runs of their steps. */
    WORKER_SLOW(523, Level.WARN, "worker {} is slow; its runs advance at {} of the usual speed"),
    /** A run on a slow worker is stopped so that it starts on another worker. */
    SLOW_RUN_MOVED(524, Level.INFO, "slow run {} at {} percent is stopped to start elsewhere"),
    /** Calls to workers were answered late or not at all. */
    CALLS_SLOW(
            525,
            Level.WARN,
            "calls to workers within {} ms: {} answered, up to {} ms late, {} not; {} in flight"),
    /** Tasks of a client account wait, since the account has reached its limit. */
    ACCOUNT_AT_LIMIT(
            530,
            Level.INFO,
            "tasks of client account {} wait: it has {} running, and {} more exceed its limit {}"),
    /** A job lies beyond the share of its client account and goes behind the other jobs. */
    ACCOUNT_BEYOND_SHARE(
            531, Level.INFO, "job {} lies beyond the share of client account {}: {} jobs a second"),
    /** Room is held for a large task that fits on no worker yet. */
    ROOM_HELD(
            532,
            Level.INFO,
            "room for task {}, which needs {}, is held on worker {} from {} ms on"),
    /** A long-running task that was away for long runs again. */
    TASK_RETURNED(
            533,
            Level.INFO,
            "task {} attempt {} runs again on worker {} after a time away of {}: {} ms until its"
                    + " run was given up, {} ms waiting for a worker, {} ms in {} starts that did"
                    + " not succeed, the last one: {}, and {} ms in the start that did"),
    /** Long-running tasks are away for long and do not run yet. */
    TASKS_AWAY(
            534,
            Level.WARN,
            "{} long-running tasks have been away for over 3 s; task {} longest, {}: {}; of {}"
                    + " compared tasks without a run, {} have a worker with the room, the first one"
                    + " being {}; the store confirmed this leader {} ms ago"),
    /** Returns of long-running tasks have no line of their own. */
    RETURNS_OMITTED(
            535,
            Level.INFO,
            "{} more long-running tasks run again without a line of their own; longest time away {}"
                    + " ms"),
    /** A worker lists a run although it has confirmed the order to stop it. */
    STOP_WITHOUT_EFFECT(
            536,
            Level.WARN,
            "run {} is listed {} ms after the worker confirmed the order to stop it; the order"
                    + " is sent again"),
    /** A cancellation names another queue or client account than the job. */
    CANCELLATION_IGNORED(
            537,
            Level.WARN,
            "cancellation of job {} is ignored: it names queue {} and client account {}, the job"
                    + " has queue {} and client account {}; {} more ignored since the last line"),
    /** A cancellation was stored. */
    CANCELLATION_STORED(538, Level.INFO, "cancellation of job {} of queue {} stored after {} ms"),
    /** A cancellation was answered from the table of jobs and not stored. */
    CANCELLATION_NOT_STORED(
            539,
            Level.INFO,
            "cancellation of job {} of queue {} and client account {} is not stored: the job is {},"
                    + " has queue {} and client account {}; the report of the leader is {} ms old"),
    /** Runs are still there although they should have been stopped. */
    STOPS_OVERDUE(
            542,
            Level.WARN,
            "{} runs are still there over a second after they had to be stopped, {} of them on"
                    + " workers that answer polls; run {} longest, {} ms; {} stop orders were sent"
                    + " for it, the last one: {}"),
    /** Many connections to one host are open. */
    CONNECTIONS_MANY(543, Level.WARN, "{} connections to host {} are open, {} of them idle"),
    /** Tasks of one kind are ready to start and find no worker. */
    TASKS_WAITING(
            526,
            Level.WARN,
            "{} {} tasks of {} jobs wait for a worker; the first one, of job {}, waits {} ms and"
                    + " needs {}; the largest free room is {}, {} of {} usable workers have enough"
                    + " processors and {} enough memory, {} are suspected; of {} millicores {} are"
                    + " free, {} reserved by long-running tasks and {} by others"),
    /** A job that has not ended can no longer meet its objective, or is worth nothing any more. */
    JOB_LATE(
            527,
            Level.WARN,
            "job {} is {} after {} ms of {}: {} of {} tasks done, {} at work, {} ready to start,"
                    + " {} starts, {} failed"),
    /** The work of the leader's placement in the last second. */
    PLACEMENT_WORK(
            528,
            Level.INFO,
            "placement within {} ms: {} passes, {} us ranking, {} us placing {} tasks by looking at"
                    + " {} workers, {} us in {} searches for moves; the longest pass took {} us and"
                    + " was requested up to {} ms before; {} orders sent up to {} ms after"
                    + " placement, {} waiting"),
    /** Ended jobs are removed from the store. */
    JOBS_FORGOTTEN(521, Level.INFO, "{} ended jobs are removed from the store: {}"),
    /** A checkpoint exceeds what the store takes in one call. */
    CHECKPOINT_TOO_LONG(
            540,
            Level.WARN,
            "checkpoint of task {} is not stored: it has {} bytes, and at most {} are"),
    /** An instance list cannot be used and was ignored. */
    LIST_IGNORED(600, Level.WARN, "instance list is ignored: {}"),
    /** An endpoint was ejected after failures. */
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

    /** Formats an event with one argument, for the log writer, which cannot log through tinylog. */
    String text(Object argument) {
        return mLevel + " " + prefixed().replace("{}", argument.toString());
    }

    private String prefixed() {
        return "HW" + mNumber + " " + mTemplate;
    }

    private void write(@Nullable Throwable cause, Object... arguments) {
        String message = prefixed();
        switch (mLevel) {
            case ERROR -> Logger.error(cause, message, arguments);
            case WARN -> Logger.warn(cause, message, arguments);
            default -> Logger.info(cause, message, arguments);
        }
    }
}
