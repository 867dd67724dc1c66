package org.hornbeamward.schedule.worker;

import java.util.concurrent.TimeUnit;

/** Timing parameters of worker supervision. */
public final class SupervisorPeriods {
    /**
     * Duration of a worker's lease, measured by the worker's clock from the ticket that renewed it.
     */
    public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Maximum time for which a removed member stays active after its removal. */
    public static final long REMOVED_MEMBER_ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Age from which a worker refuses a ticket for a start. */
    public static final long TICKET_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Heartbeat period; a lease spans five heartbeats. */
    static final long HEARTBEAT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Heartbeat period while a start waits for a ticket. */
    static final long TICKET_REQUEST_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Age from which a ticket is no longer sent, because it would be too old on arrival. */
    static final long MAX_USABLE_TICKET_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

    /**
     * Time without any message after which a worker is considered unreachable; two heartbeat
     * periods.
     */
    static final long UNREACHABLE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** Minimum time between messages that request a worker's status. */
    static final long HELLO_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Period at which sessions without events are processed. */
    static final long SWEEP_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Minimum time before a message about a task is sent again. */
    static final long MESSAGE_RESEND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a command that has not appeared in the log is emitted again. */
    static final long COMMAND_RESEND_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Commands are withheld unless a log read that started within this time has reached the end of
     * the log.
     */
    static final long FRESH_LOG_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Minimum time between recorded checkpoints of a running task. With 14,000 batch tasks this
     * amounts to fewer than 50 commands per second.
     */
    static final long CHECKPOINT_RECORD_NANOS = TimeUnit.SECONDS.toNanos(300);

    /** Maximum wait for a checkpoint before a stop, unless the notice period is shorter. */
    static final long MAX_CHECKPOINT_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time that a service task has to finish its requests when no notice period was given. */
    static final long DEFAULT_STOP_NOTICE_MILLIS = 1_000;

    /** Maximum number of start messages for one placement before it is abandoned. */
    static final int MAX_START_ATTEMPTS = 20;

    private SupervisorPeriods() {}

    /**
     * Adds a margin of 2% to the timeout of another process, because clock rates differ by up to
     * 1%.
     *
     * @param nanos timeout of the other process
     * @return how long to wait until the other process has certainly timed out
     */
    public static long withMargin(long nanos) {
        return nanos + nanos / 50;
    }
}
