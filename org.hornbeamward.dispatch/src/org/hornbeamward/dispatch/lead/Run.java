package org.hornbeamward.dispatch.lead;

/** A start of a task on a worker, from its decision until it is certain that it is gone. */
final class Run {
    /** What is known of a run. */
    enum State {
        /** Decided; the decision is not committed yet. */
        DECIDED,
        /** The order is on its way. */
        ORDERED,
        /** The order got no answer. */
        UNKNOWN,
        /** A former leader decided it; no look has shown yet whether it is there. */
        INHERITED,
        /** The worker has confirmed it. */
        PRESENT
    }

    public final Task task;
    public final int attempt;
    public final WorkerSession worker;
    public State state = State.DECIDED;

    /** Approval of the policy service. */
    public final String ticket;

    /** Steady time of the confirmation that it was present. */
    public long confirmedMillis;

    /** Steady time at which an order without an answer can no longer take effect. */
    public long voidAtMillis = Long.MAX_VALUE;

    /** Whether it is to be stopped. */
    public boolean stopping;

    /** Whether a stop order is on its way. */
    public boolean stopInFlight;

    /** Steady time at which the worker confirmed the stop; the largest long before. */
    public long stoppedMillis = Long.MAX_VALUE;

    public int pacePercent = 100;
    public boolean paceInFlight;

    /** Steady time since which its pace has been low; the largest long if it is not. */
    public long slowSinceMillis = Long.MAX_VALUE;

    /** Steady time since which its tail has missed its target; the largest long if it has not. */
    public long missedSinceMillis = Long.MAX_VALUE;

    public int reportedPercent;
    public double reportedLoad;

    Run(Task task, int attempt, WorkerSession worker, String ticket) {
        this.task = task;
        this.attempt = attempt;
        this.worker = worker;
        this.ticket = ticket;
    }

    @Override
    public String toString() {
        return task.name + " attempt " + attempt + " on " + worker.id();
    }
}
