package org.hornbeamward.schedule.worker;

import java.util.concurrent.TimeUnit;

/** Periods of the supervision of workers. */
public final class SupervisorPeriods {
    /** A worker's lease, counted by the worker's clock from the ticket that renewed it. */
    public static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Longest time that a removed member stays active after its removal. */
    public static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Age at which a worker refuses a start ticket. */
    public static final long TICKET_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time between heartbeats; five of them fit into a lease. */
    static final long HEARTBEAT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time between heartbeats that ask for a ticket because a start waits for one. */
    static final long TICKET_REQUEST_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Age beyond which a ticket is not sent any more, since it would arrive too old. */
    static final long USABLE_TICKET_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

    /** Time without any message after which a worker counts as unreachable: two heartbeats. */
    static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** Time between messages that ask an unreachable worker for its status. */
    static final long HELLO_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time between visits of sessions in which nothing has happened. */
    static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which a message about a task is repeated. */
    static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a command that has not shown up in the log is given out again. */
    static final long COMMAND_REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Commands are held back if no log read that began within this time reached the end. */
    static final long FRESH_LOG_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Time between recorded checkpoints of a running task. At 14,000 batch tasks this is below 50
     * commands a second.
     */
    static final long CHECKPOINT_RECORD_NANOS = TimeUnit.SECONDS.toNanos(300);

    /** Longest wait for a checkpoint before a stop, unless the notice is shorter. */
    static final long CHECKPOINT_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time that a service has to finish its requests when no notice was given. */
    static final long DEFAULT_NOTICE_MILLIS = 1_000;

    /** Starts sent for one placement before it is given up. */
    static final int MAX_STARTS = 20;

    private SupervisorPeriods() {}

    /**
     * Lengthens the wait for another process's timeout by 2%, for clocks that differ by up to 1%.
     *
     * @param nanos the timeout
     * @return how long to wait for it
     */
    public static long withMargin(long nanos) {
        return nanos + nanos / 50;
    }
}
