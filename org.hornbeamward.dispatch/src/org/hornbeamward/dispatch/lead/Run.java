package org.hornbeamward.dispatch.lead;

import org.hornbeamward.dispatch.decide.RunSpeed;

/** One start of a task on a worker, from its placement until it is certainly gone. */
final class Run {
    /** What the leader knows about a run. */
    enum State {
        /** Placed, and the start order is not sent yet. */
        DECIDED,
        /** The start order is in flight. */
        ORDERED,
        /** The start order got no answer, or its rejection leaves open whether the run exists. */
        UNKNOWN,
        /**
         * Ordered by a previous leader, or in the session with an earlier incarnation of the
         * worker; the next poll shows whether it is present.
         */
        INHERITED,
        /** The worker has confirmed that it is present. */
        PRESENT
    }

    public final Task task;
    public final int attempt;
    public final WorkerSession worker;
    public State state = State.DECIDED;

    /** Approval of the policy service; empty for none. */
    public final String ticket;

    /**
     * Checkpoint that the run resumes from; empty for none. It is fixed when the run is placed, so
     * that all members of a gang carry the same one.
     */
    public final String checkpoint;

    /** Whether the worker has reported the end of the run. */
    public boolean hasEnded;

    /** Whether a poll answer of the session's incarnation has listed the run. */
    public boolean listed;

    /**
     * Whether the start order was sent while nothing showed that the worker had not restarted since
     * its last answer.
     */
    public boolean orderedWithoutContact;

    /**
     * Monotonic time at which the leader chose the worker; for an inherited run, of its takeover.
     */
    public final long placedMillis;

    /** Monotonic time at which this leader sent the start order; {@link #NEVER} if it did not. */
    public long orderSentMillis = NEVER;

    /**
     * Start time of the worker's incarnation that the previous leader knew when it placed the run;
     * 0 for a run that this leader has placed.
     */
    public long inheritedIncarnationStartWallMillis;

    /** Monotonic time at which the worker first confirmed that the run is present. */
    public long confirmedMillis;

    /**
     * Monotonic time at which an answer of the worker last showed the run; {@link #NEVER} if none.
     */
    public long lastSeenMillis = NEVER;

    /** Monotonic time after which a start order without an answer can no longer take effect. */
    public long orderExpiresAtMillis = Long.MAX_VALUE;

    /** Whether the run has to be stopped. */
    public boolean stopping;

    /** Monotonic time since which the run has had to be stopped; {@link #NEVER} if it has not. */
    public long stoppingSinceMillis = NEVER;

    /** Number of stop orders that were sent. */
    public int stopOrderCount;

    /** Outcome of the last stop order. */
    public String stopOutcome = "not answered yet";

    /** Monotonic time at which the last stop order was sent; {@link #NEVER} if none was. */
    public long stopSentMillis = NEVER;

    /** Whether a stop order is in flight. */
    public boolean stopInFlight;

    /**
     * Monotonic time at which the worker answered the stop order; {@code Long.MAX_VALUE} until
     * then, and again when a later poll lists the run.
     */
    public long stopConfirmedMillis = Long.MAX_VALUE;

    public int pacePercent = 100;

    /**
     * Whether the worker may have another pace: the run was started by a previous leader or may be
     * on a later incarnation, or the last pace order got no answer.
     */
    public boolean paceUncertain;

    public boolean paceInFlight;

    /**
     * Monotonic time since which the run's pace has been low; {@code Long.MAX_VALUE} if it is not
     * low.
     */
    public long lowPaceSinceMillis = Long.MAX_VALUE;

    /** Monotonic time at which a better worker was last looked for; {@link #NEVER} if never. */
    public long moveSearchedMillis = NEVER;

    /**
     * Monotonic time since which the task's tail latency has been above its target; {@code
     * Long.MAX_VALUE} if it is not.
     */
    public long targetMissedSinceMillis = Long.MAX_VALUE;

    /** Value of a monotonic time that has not been set. */
    static final long NEVER = Long.MIN_VALUE;

    /** Whether the run continues from a checkpoint or was started by a previous leader. */
    public boolean resumed;

    /** Monotonic time of the last report that counted towards {@link #workedMillis}. */
    public long observedMillis = NEVER;

    /** Time during which the run had the processors that it requests. */
    public long workedMillis;

    /** Progress in percent at the beginning of {@link #workedMillis}. */
    public int firstPercent;

    /** Share of the work that is done, in percent, as the worker reported it. */
    public int reportedProgressPercent;

    /** Reported tail latency in milliseconds of a serving task; used millicores of any other. */
    public double reportedLoad;

    Run(Task task, int attempt, WorkerSession worker, String ticket) {
        this.task = task;
        this.attempt = attempt;
        this.worker = worker;
        this.ticket = ticket;
        checkpoint = task.checkpoint.value();
        placedMillis = worker.nowMillis();
    }

    /**
     * Returns whether the worker has shown that it carried out the start order. A run that was
     * placed, but refused, not answered or not found on the worker, was not.
     */
    boolean wasAtWork() {
        return state == State.PRESENT || hasEnded;
    }

    /**
     * Returns whether the run may be present on a later incarnation of its worker. Orders name the
     * worker but not its incarnation, so either may have carried out an order that was sent before
     * the leader knew of the restart.
     */
    boolean mayBeOnLaterIncarnation() {
        return state != State.DECIDED && !listed;
    }

    /**
     * Returns whether a later incarnation of the worker may have carried out the start order, which
     * has got no answer. An answer tells the worker's clock, which starts anew in each incarnation.
     */
    boolean mayHaveStartedOnLaterIncarnation() {
        return orderedWithoutContact && (state == State.ORDERED || state == State.UNKNOWN);
    }

    /**
     * Returns whether the previous leader placed the run on an incarnation of the worker that began
     * after another one, and this leader has not seen it yet.
     *
     * @param startWallMillis start time of the other incarnation
     */
    boolean mayBeOnIncarnationAfter(long startWallMillis) {
        return state == State.INHERITED && inheritedIncarnationStartWallMillis > startWallMillis;
    }

    /** Returns whether the worker has answered the last stop order. */
    boolean isStopConfirmed() {
        return stopConfirmedMillis != Long.MAX_VALUE;
    }

    /** Returns the run as it may be present on a later incarnation of its worker. */
    Run onLaterIncarnation(WorkerSession session) {
        Run run = new Run(task, attempt, session, ticket);
        // An order without an answer may still be carried out, and its deadline is a time on the
        // clock of the ended incarnation, so only a stop order can rule the run out.
        run.state =
                state == State.ORDERED || state == State.UNKNOWN ? State.UNKNOWN : State.INHERITED;
        run.stopping = stopping || run.state == State.UNKNOWN;
        run.stoppingSinceMillis = stoppingSinceMillis;
        run.resumed = resumed;
        run.inheritedIncarnationStartWallMillis = inheritedIncarnationStartWallMillis;
        run.pacePercent = pacePercent;
        run.paceUncertain = true;
        return run;
    }

    /** Returns the name of the client account that the run counts for; empty for none. */
    String accountName() {
        return task.step.job.submission.account();
    }

    /**
     * Returns when the run is expected to end: by its progress, or by the estimate before its
     * progress is known.
     *
     * @param nowMillis monotonic time
     */
    long expectedEndMillis(long nowMillis) {
        RunSpeed.Progress progress = progress();
        if (progress.isKnown() && reportedProgressPercent > 0) {
            long remainingMillis =
                    progress.projectedMillis() * (100 - reportedProgressPercent) / 100;
            return observedMillis + remainingMillis * 100 / Math.max(1, pacePercent);
        }
        return Math.max(nowMillis, placedMillis + task.step.spec.estimateMillis());
    }

    /** Returns the progress since the run was first observed. */
    RunSpeed.Progress progress() {
        return new RunSpeed.Progress(
                workedMillis, reportedProgressPercent - firstPercent, reportedProgressPercent);
    }

    @Override
    public String toString() {
        return task.name
                + " attempt "
                + attempt
                + " on "
                + worker.id()
                + " incarnation "
                + worker.incarnationStartWallMillis();
    }
}
