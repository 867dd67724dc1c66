package org.hornbeamward.dispatch.lead;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;

/** The Prometheus metrics of an entry. */
public final class NodeMetrics {
    /**
     * Bucket bounds of the histograms. The objective of a short job leaves 0.25 s for the control
     * path.
     */
    private static final double[] BOUNDS_SECONDS = {
        0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30
    };

    /** Bucket bounds of the duration of a placement pass, most of which take microseconds. */
    private static final double[] PASS_BOUNDS_SECONDS = {
        0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1
    };

    /**
     * Bucket bounds of the time away. A task counts as lost 9 s after its last run, and leases
     * lapse 6 to 10 s after it.
     */
    private static final double[] AWAY_BOUNDS_SECONDS = {
        0.25, 0.5, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12, 15, 20, 30, 60
    };

    private static final double NANOS_PER_SECOND = 1_000_000_000.0;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final Counter mSubmissions;
    private final Counter mOrders;
    private final Counter mEnds;
    private final Counter mRunsGone;
    private final Histogram mStoring;
    private final Histogram mFirstStart;
    private final Histogram mJobs;
    private final Histogram mCalls;
    private final Histogram mLoopDelay;
    private final Histogram mPassRanking;
    private final Histogram mPassPlacing;
    private final Histogram mPassDelay;
    private final Histogram mMoveChecks;
    private final Counter mPassWorkers;
    private final Counter mPassStarts;
    private final Histogram mOrderDelay;
    private final Counter mRoomHeld;
    private final Counter mAccess;
    private final Counter mAccountJobs;
    private final Counter mAccountLimits;
    private final Histogram mTimeAway;
    private final Gauge mTasksAway;
    private final Histogram mStops;
    private final Gauge mStopsOverdue;

    /** Creates the metrics, all at zero. */
    public NodeMetrics() {
        mSubmissions = counter("hornbeamward_submissions", "submissions by outcome", "outcome");
        mOrders = counter("hornbeamward_orders", "start orders by outcome", "outcome");
        mEnds = counter("hornbeamward_ends", "ended runs by kind", "kind");
        mRunsGone =
                counter(
                        "hornbeamward_runs_gone",
                        "runs given up without a report of their end, by what shows that they are"
                                + " gone",
                        "evidence");
        mStoring = histogram("hornbeamward_storing_seconds", "time to store a submission");
        mFirstStart =
                histogram("hornbeamward_first_start_seconds", "acceptance to the first order");
        mJobs = histogram("hornbeamward_job_seconds", "acceptance to the final phase");
        mCalls = histogram("hornbeamward_call_seconds", "calls to workers, without their wait");
        mLoopDelay = histogram("hornbeamward_loop_delay_seconds", "lateness of the event loop");
        mPassRanking =
                histogram(
                        "hornbeamward_pass_ranking_seconds",
                        "time to order the jobs in a placement pass",
                        PASS_BOUNDS_SECONDS);
        mPassPlacing =
                histogram(
                        "hornbeamward_pass_placing_seconds",
                        "time to choose workers in a placement pass",
                        PASS_BOUNDS_SECONDS);
        mPassDelay =
                histogram(
                        "hornbeamward_pass_delay_seconds",
                        "request of a placement pass to its start");
        mMoveChecks =
                histogram(
                        "hornbeamward_move_check_seconds",
                        "time to look for a better worker for a run",
                        PASS_BOUNDS_SECONDS);
        mPassWorkers = counter("hornbeamward_pass_workers", "workers looked at for tasks");
        mPassStarts = counter("hornbeamward_pass_starts", "tasks placed");
        mOrderDelay =
                histogram("hornbeamward_order_delay_seconds", "placement of a task to its order");
        mRoomHeld = counter("hornbeamward_room_held", "large tasks for which room was held");
        mAccess = counter("hornbeamward_access", "checks of callers' keys by outcome", "outcome");
        mAccountJobs =
                Counter.builder()
                        .name("hornbeamward_account_jobs")
                        .help("jobs by client account, within its share or beyond it")
                        .labelNames("account", "share")
                        .register(mRegistry);
        mAccountLimits =
                counter(
                        "hornbeamward_account_at_limit",
                        "tasks that wait in a pass since their account is at its limit",
                        "account");
        mTimeAway =
                Histogram.builder()
                        .name("hornbeamward_away_seconds")
                        .help(
                                "time from when a long-running task was last seen at work, or from"
                                        + " the takeover, until a worker confirms a run again")
                        .labelNames("since")
                        .classicOnly()
                        .classicUpperBounds(AWAY_BOUNDS_SECONDS)
                        .register(mRegistry);
        mTasksAway =
                Gauge.builder()
                        .name("hornbeamward_tasks_away")
                        .help("long-running tasks that have been away for over 3 s; at the leader")
                        .register(mRegistry);
        mStops =
                histogram(
                        "hornbeamward_stop_seconds",
                        "time from when a run had to be stopped until it was gone");
        mStopsOverdue =
                Gauge.builder()
                        .name("hornbeamward_stops_overdue")
                        .help(
                                "runs that are still there over 1 s after they had to be stopped;"
                                        + " at the leader")
                        .register(mRegistry);
    }

    private Counter counter(String name, String help) {
        return Counter.builder().name(name).help(help).register(mRegistry);
    }

    private Counter counter(String name, String help, String label) {
        return Counter.builder().name(name).help(help).labelNames(label).register(mRegistry);
    }

    private Histogram histogram(String name, String help) {
        return histogram(name, help, BOUNDS_SECONDS);
    }

    private Histogram histogram(String name, String help, double[] boundsSeconds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(boundsSeconds)
                .register(mRegistry);
    }

    /**
     * Registers a gauge whose value is read at each scrape.
     *
     * @param name name of the metric
     * @param help help text
     * @param value supplies the value; called on the loop
     */
    public void gauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(mRegistry);
    }

    /**
     * Counts a submission and records the time that storing it took.
     *
     * @param outcome simple name of the outcome's class
     * @param millis time to store it
     */
    public void recordSubmission(String outcome, long millis) {
        mSubmissions.labelValues(outcome).inc();
        mStoring.observe(millis / MILLIS_PER_SECOND);
    }

    /** Counts a task for which room is held on a worker. */
    public void recordRoomHeld() {
        mRoomHeld.inc();
    }

    /**
     * Counts a check of a caller's key.
     *
     * @param outcome simple name of the outcome's class
     */
    public void recordAccess(String outcome) {
        mAccess.labelValues(outcome).inc();
    }

    /**
     * Counts a job of a client account that this leader has received.
     *
     * @param account name of the account
     * @param withinShare whether it lies within the account's share
     */
    public void recordAccountJob(String account, boolean withinShare) {
        mAccountJobs.labelValues(account, withinShare ? "within" : "beyond").inc();
    }

    /**
     * Counts a task that waits since its client account is at its limit, once in each pass.
     *
     * @param account name of the account
     */
    public void recordAccountAtLimit(String account) {
        mAccountLimits.labelValues(account).inc();
    }

    /**
     * Records how long a long-running task was away at the moment at which it runs again.
     *
     * @param millis time since it was last seen at work, or since the takeover
     * @param sinceKnown whether this leader has seen it at work
     */
    public void recordTimeAway(long millis, boolean sinceKnown) {
        mTimeAway
                .labelValues(sinceKnown ? "last_seen" : "takeover")
                .observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Sets the number of long-running tasks that have been away for long and do not run yet.
     *
     * @param taskCount number of tasks; 0 at an entry that does not lead
     */
    public void setTasksAway(int taskCount) {
        mTasksAway.set(taskCount);
    }

    /**
     * Records how long it took to stop a run.
     *
     * @param millis time from when it had to be stopped until it was gone
     */
    public void recordStop(long millis) {
        mStops.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Sets the number of runs that should have been stopped and are still there.
     *
     * @param runCount number of runs; 0 at an entry that does not lead
     */
    public void setStopsOverdue(int runCount) {
        mStopsOverdue.set(runCount);
    }

    /**
     * Counts the answer to a start order.
     *
     * @param outcome simple name of the outcome's class
     */
    public void recordStartOrder(String outcome) {
        mOrders.labelValues(outcome).inc();
    }

    /**
     * Counts the end of a run.
     *
     * @param kind name of the kind of end
     */
    public void recordRunEnd(String kind) {
        mEnds.labelValues(kind).inc();
    }

    /**
     * Counts a run that is given up without a report of its end.
     *
     * @param evidence name of what shows that it is gone
     */
    public void recordRunGone(String evidence) {
        mRunsGone.labelValues(evidence).inc();
    }

    /**
     * Records the time until a job is running.
     *
     * @param millis time since the job was accepted
     */
    public void recordFirstStart(long millis) {
        mFirstStart.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records the time until a job reached its final phase.
     *
     * @param millis time since the job was accepted
     */
    public void recordJobEnd(long millis) {
        mJobs.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records how late a call to a worker was answered or given up.
     *
     * @param millis time since it was sent, without the time that the worker was asked to wait
     */
    public void recordCall(long millis) {
        mCalls.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records how late the event loop ran a timer.
     *
     * @param millis how late
     */
    public void recordLoopDelay(long millis) {
        mLoopDelay.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records a placement pass.
     *
     * @param rankingNanos time to order the jobs
     * @param placingNanos time to choose workers
     * @param lookedAtCount number of workers looked at, once for each task
     * @param startCount number of tasks placed
     */
    public void recordPass(
            long rankingNanos, long placingNanos, long lookedAtCount, int startCount) {
        mPassRanking.observe(rankingNanos / NANOS_PER_SECOND);
        mPassPlacing.observe(placingNanos / NANOS_PER_SECOND);
        mPassWorkers.inc(lookedAtCount);
        mPassStarts.inc(startCount);
    }

    /**
     * Records a search for a worker to which a run could move.
     *
     * @param nanos time that it took
     */
    public void recordMoveCheck(long nanos) {
        mMoveChecks.observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Records how long a placement pass was delayed, such as by a commit in flight.
     *
     * @param millis time since it was requested
     */
    public void recordPassDelay(long millis) {
        mPassDelay.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records how long a start order waited for its commit and for earlier orders.
     *
     * @param millis time since the task was placed
     */
    public void recordOrderDelay(long millis) {
        mOrderDelay.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Returns the registry, for an exposition.
     *
     * @return the registry
     */
    public PrometheusRegistry registry() {
        return mRegistry;
    }
}
