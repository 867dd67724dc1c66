package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Documents;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerControl;
import org.hornbeamward.dispatch.port.WorkerControl.EndReport;
import org.hornbeamward.dispatch.port.WorkerControl.RunReport;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.dispatch.store.FencedWriter;
import org.hornbeamward.dispatch.store.TopicFollower;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.jspecify.annotations.Nullable;

/**
 * The leader's work of one epoch: it loads jobs, progress and workers, places tasks, and commits
 * every decision before it takes effect. Runs on the loop.
 */
public final class Dispatcher implements WorkerSession.Supervisor {
    /** Name of the producer of all leaders. */
    private static final String PRODUCER = "leader";

    /** Key of the record that an idle leader writes. */
    private static final String ALIVE_KEY = "alive";

    /** A record by which followers see in the store that the leader is alive. */
    private static final KeyedRecord ALIVE = new KeyedRecord(ALIVE_KEY, new byte[] {1});

    /** Key of the record that holds what was learned of images that share workers. */
    private static final String PRESSURE_KEY = "pressure";

    /** Period of that record; a new leader that knows nothing takes some seconds to learn. */
    private static final long SAVE_PRESSURE_MILLIS = 2_000;

    /** Period of the checks that no event triggers. */
    private static final long TICK_MILLIS = 100;

    /** Age of the last confirmation after which the leader asks for another one. */
    private static final long CONFIRM_AFTER_MILLIS = 700;

    /** Age of the last confirmation beyond which a committed decision is confirmed once more. */
    private static final long FRESH_MILLIS = 1_000;

    /**
     * Time without confirmation after which no order or renewal is given. A successor counts on it
     * for workers that it cannot reach.
     */
    static final long AUTHORITY_MILLIS = 4_000;

    /** Wait of the store's reads of jobs, so that the age of what is known stays bounded. */
    private static final long JOBS_WAIT_MILLIS = 1_000;

    private final Loop mLoop;
    private final Store mStore;
    private final WorkerControl mControl;
    private final StatusListener mStatus;
    private final DispatchLimits mLimits;
    private final NodeMetrics mMetrics;
    private final long mEpoch;
    private final FencedWriter.DeposedListener mDeposed;
    private final FencedWriter mWriter;
    private final TopicFollower mJobsFollower;
    private final TopicFollower mProgressFollower;
    private final JobTable mJobs = new JobTable();
    private final WorkerRegistry mWorkers;
    private final List<Run> mDecided = new ArrayList<>();
    private final OrderQueue mOrders = new OrderQueue();
    private final Scheduler mScheduler;
    private final Sharing mSharing;
    private Map<String, byte[]> mProgress = new HashMap<>();
    private boolean mOpen = true;
    private boolean mReady;
    private boolean mPassPlanned;
    private boolean mConfirmingOrders;
    private long mPressureSavedMillis = Long.MIN_VALUE;

    /**
     * Creates the leader of an epoch.
     *
     * @param loop the loop
     * @param store the store
     * @param control orders to workers
     * @param documents decodes the workers' entries
     * @param status receives what callers may be shown
     * @param limits limits of the platform
     * @param metrics counts what happens
     * @param epoch the epoch, which is also the fencing token
     * @param deposed learns of a successor
     */
    public Dispatcher(
            Loop loop,
            Store store,
            WorkerControl control,
            Documents documents,
            StatusListener status,
            DispatchLimits limits,
            NodeMetrics metrics,
            long epoch,
            FencedWriter.DeposedListener deposed) {
        mLoop = loop;
        mStore = store;
        mControl = control;
        mStatus = status;
        mLimits = limits;
        mMetrics = metrics;
        mEpoch = epoch;
        mDeposed = deposed;
        mWriter = new FencedWriter(loop, store, Topic.PROGRESS, PRODUCER, epoch, this::depose);
        mJobsFollower =
                new TopicFollower(loop, store, Topic.JOBS, JOBS_WAIT_MILLIS, 0, new JobsListener());
        mProgressFollower =
                new TopicFollower(
                        loop, store, Topic.PROGRESS, JOBS_WAIT_MILLIS, 0, new ProgressListener());
        mWorkers =
                new WorkerRegistry(loop, store, documents, this::newSession, new WorkersListener());
        mSharing = new Sharing(loop);
        mScheduler = new Scheduler(mJobs, mSharing);
    }

    /** Fences the former leader, then loads and takes over. */
    public void start() {
        mWriter.append(
                List.of(),
                () -> {
                    mProgressFollower.start();
                    mJobsFollower.start();
                    mWorkers.start();
                    confirmWhileLoading();
                });
    }

    /**
     * Keeps the store's confirmation fresh until the regular commits begin: loading thousands of
     * runs takes seconds, and followers depose a leader that is not confirmed.
     */
    private void confirmWhileLoading() {
        if (!mOpen || mReady) {
            return;
        }
        if (!mWriter.isBusy() && mWriter.unconfirmedMillis() > CONFIRM_AFTER_MILLIS) {
            mWriter.append(List.of(ALIVE), () -> {});
        }
        mLoop.schedule(TICK_MILLIS, this::confirmWhileLoading);
    }

    /** Stops all decisions and orders. */
    public void close() {
        mOpen = false;
        mWriter.close();
        mJobsFollower.stop();
        mProgressFollower.stop();
        mWorkers.close();
    }

    /**
     * Puts a configuration in force.
     *
     * @param config the configuration
     */
    public void configure(ClusterConfig config) {
        mJobs.configure(config);
        mScheduler.configure(config);
        changed();
    }

    /**
     * Sets the failure domains in which nothing is started.
     *
     * @param domains the failure domains
     */
    public void takeOut(Set<FailureDomainId> domains) {
        mScheduler.takeOut(domains);
        changed();
    }

    /**
     * Returns whether the leader has taken over.
     *
     * @return true once jobs, progress and workers are loaded
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Describes the state for a reader.
     *
     * @return one line for the leader and one for each worker
     */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        lines.add(
                "leader epoch="
                        + mEpoch
                        + " ready="
                        + mReady
                        + " unconfirmedMillis="
                        + unconfirmedMillis()
                        + " jobs="
                        + mJobs.all().size()
                        + " active="
                        + mJobs.active().size());
        mWorkers.all().forEach(worker -> lines.add(worker.describe()));
        return lines;
    }

    /**
     * Returns how long ago the store confirmed the leader.
     *
     * @return milliseconds
     */
    public long unconfirmedMillis() {
        return mWriter.unconfirmedMillis();
    }

    /**
     * Returns the offset that follows the last record of progress that this leader has written.
     *
     * @return the offset; -1 before the first one
     */
    public long progressOffset() {
        return mWriter.endOffset();
    }

    /**
     * Returns how old the knowledge of submissions is.
     *
     * @return milliseconds
     */
    public long jobsAgeMillis() {
        long freshMillis = mJobsFollower.freshMillis();
        return freshMillis == Long.MIN_VALUE ? Long.MAX_VALUE : mLoop.nowMillis() - freshMillis;
    }

    private void depose(String reason) {
        if (mOpen) {
            close();
            mDeposed.deposed(reason);
        }
    }

    private void takeOverIfLoaded() {
        if (mReady
                || !mJobsFollower.isLoaded()
                || !mProgressFollower.isLoaded()
                || !mWorkers.isLoaded()) {
            return;
        }
        mReady = true;
        mProgressFollower.stop();
        int inherited = 0;
        mProgress.remove(ALIVE_KEY);
        inheritPressure(mProgress.remove(PRESSURE_KEY));
        for (Map.Entry<String, byte[]> entry : mProgress.entrySet()) {
            inherited += inherit(entry.getKey(), entry.getValue());
        }
        mProgress = new HashMap<>();
        for (Job job : new ArrayList<>(mJobs.all())) {
            job.endedMillis = mLoop.nowMillis();
            mStatus.phase(job.submission.job(), job.submission.queue(), job.committedPhase);
            if (job.terminal()) {
                stopRuns(job);
            }
            mJobs.settle(job);
        }
        mStatus.complete();
        LogEvent.LEADER_READY.log(mEpoch, mJobs.all().size(), inherited, mWorkers.size());
        mWorkers.all().forEach(WorkerSession::look);
        tick();
    }

    private void inheritPressure(byte @Nullable [] value) {
        mPressureSavedMillis = mLoop.nowMillis();
        if (value == null) {
            return;
        }
        try {
            mSharing.restoreLearned(value);
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "learned pressures cannot be read");
        }
    }

    private int inherit(String key, byte[] value) {
        Job job = JobId.parse(key).map(mJobs::get).getOrElse(() -> null);
        if (job == null) {
            LogEvent.RECORD_SKIPPED.log("progress of job " + key + ", which has no submission");
            return 0;
        }
        boolean cancelled = job.phase == JobPhase.CANCELLED;
        List<ProgressCodec.LiveRun> runs;
        try {
            runs = ProgressCodec.decode(job, value);
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "progress of job " + key + " cannot be read");
            return 0;
        }
        if (cancelled && !job.phase.terminal()) {
            job.phase = JobPhase.CANCELLED;
            mJobs.changed(job);
        }
        int count = 0;
        for (ProgressCodec.LiveRun live : runs) {
            count += inherit(live) ? 1 : 0;
        }
        return count;
    }

    /** Takes over a run; returns false if it ended with the life of its worker. */
    private boolean inherit(ProgressCodec.LiveRun live) {
        WorkerSession worker = mWorkers.get(live.worker());
        if (worker != null
                && worker.bornWallMillis() > live.bornWallMillis()
                && live.bornWallMillis() != 0) {
            mJobs.changed(live.task().step.job);
            return false;
        }
        if (worker == null) {
            worker = mWorkers.addUnlisted(live.worker(), live.bornWallMillis());
        }
        Run run = new Run(live.task(), live.attempt(), worker, "");
        run.state = Run.State.INHERITED;
        attach(run);
        return true;
    }

    private void attach(Run run) {
        run.task.run = run;
        run.task.lastAttempt = Math.max(run.task.lastAttempt, run.attempt);
        run.task.step.job.liveRunCount++;
        run.worker.add(run);
    }

    private void detach(Run run) {
        run.worker.remove(run);
        if (run.task.run == run) {
            run.task.run = null;
            run.task.waitingSinceMillis = Long.MAX_VALUE;
            run.task.step.job.liveRunCount--;
            mJobs.changed(run.task.step.job);
        }
    }

    private WorkerSession newSession(WorkerEntry entry) {
        WorkerSession worker = new WorkerSession(mLoop, mControl, this, entry);
        worker.inheritLeases(
                mLoop.nowMillis() + AUTHORITY_MILLIS + mLimits.leaseMillis() * 11 / 10);
        return worker;
    }

    private void tick() {
        if (!mOpen) {
            return;
        }
        for (WorkerSession worker : new ArrayList<>(mWorkers.all())) {
            if (worker.silent() && !worker.runs().isEmpty() && worker.leasesLapsed()) {
                lose(worker, "its leases have lapsed and it does not answer");
            } else {
                worker.repeatOrders();
            }
        }
        forgetEndedJobs();
        if (!mWriter.isBusy() && mWriter.unconfirmedMillis() > CONFIRM_AFTER_MILLIS) {
            commit();
        }
        pass();
        mLoop.schedule(TICK_MILLIS, this::tick);
    }

    private void lose(WorkerSession worker, String reason) {
        LogEvent.WORKER_LOST.log(worker.id(), worker.bornWallMillis() + " (" + reason + ")");
        for (Run run : new ArrayList<>(worker.runs())) {
            vanished(run, reason);
        }
    }

    private void forgetEndedJobs() {
        long keepMillis = 2 * mLimits.statusMillis();
        List<KeyedRecord> removed = new ArrayList<>();
        for (Job job : new ArrayList<>(mJobs.all())) {
            if (job.committedPhase.terminal()
                    && job.liveRunCount == 0
                    && mLoop.nowMillis() - job.endedMillis > keepMillis) {
                JobId id = job.submission.job();
                mJobs.remove(job);
                mStatus.forgotten(id);
                removed.add(new KeyedRecord(JobKeys.submission(id), null));
                removed.add(new KeyedRecord(JobKeys.cancellation(id), null));
            }
        }
        if (!removed.isEmpty()) {
            mStore.append(Topic.JOBS, removed, new Store.Condition.Always(), FRESH_MILLIS)
                    .thenAccept(
                            outcome -> LogEvent.JOBS_FORGOTTEN.log(removed.size() / 2, outcome));
        }
    }

    /** Plans a pass; events of one moment share it. */
    @Override
    public void changed() {
        if (mReady && mOpen && !mPassPlanned) {
            mPassPlanned = true;
            mLoop.schedule(
                    0,
                    () -> {
                        mPassPlanned = false;
                        pass();
                    });
        }
    }

    private void pass() {
        if (!mOpen || !mReady) {
            return;
        }
        if (!mWriter.isBusy()) {
            for (Run run : mScheduler.place(mWorkers.all(), mLoop)) {
                attach(run);
                mDecided.add(run);
                mJobs.changed(run.task.step.job);
            }
            if (mJobs.hasChanges()) {
                commit();
            } else {
                mWorkers.all().forEach(worker -> worker.stored(worker.seenEnd()));
            }
        }
    }

    private void commit() {
        List<Job> changed = mJobs.takeChanged();
        List<Run> decided = new ArrayList<>(mDecided);
        mDecided.clear();
        Map<WorkerSession, Long> ends = new HashMap<>();
        mWorkers.all().forEach(worker -> ends.put(worker, worker.seenEnd()));
        List<KeyedRecord> records = new ArrayList<>();
        Map<Job, JobPhase> phases = new LinkedHashMap<>();
        for (Job job : changed) {
            records.add(new KeyedRecord(job.submission.job().value(), ProgressCodec.encode(job)));
            phases.put(job, job.phase);
        }
        if (mReady && mLoop.nowMillis() - mPressureSavedMillis >= SAVE_PRESSURE_MILLIS) {
            mPressureSavedMillis = mLoop.nowMillis();
            records.add(new KeyedRecord(PRESSURE_KEY, mSharing.encodeLearned()));
        }
        if (records.isEmpty()) {
            // A record, so that followers see in the store that the leader is alive.
            records.add(ALIVE);
        }
        mWriter.append(records, () -> committed(phases, decided, ends));
    }

    private void committed(
            Map<Job, JobPhase> phases, List<Run> decided, Map<WorkerSession, Long> ends) {
        phases.forEach(this::show);
        ends.forEach(WorkerSession::stored);
        mOrders.add(decided);
        sendOrders();
        pass();
    }

    private void show(Job job, JobPhase phase) {
        if (job.committedPhase != phase) {
            job.committedPhase = phase;
            mStatus.phase(job.submission.job(), job.submission.queue(), phase);
            long ageMillis = mLoop.wallMillis() - job.submission.acceptedWallMillis();
            if (phase == JobPhase.RUNNING) {
                mMetrics.firstStart(ageMillis);
            }
            if (phase.terminal()) {
                job.endedMillis = mLoop.nowMillis();
                mMetrics.job(ageMillis);
                LogEvent.JOB_ENDED.log(job.submission.job(), phase, ageMillis);
            }
        }
        mJobs.settle(job);
    }

    private void sendOrders() {
        if (!mOpen || mOrders.isEmpty() || mConfirmingOrders) {
            return;
        }
        if (mWriter.unconfirmedMillis() > FRESH_MILLIS) {
            confirmOrders();
            return;
        }
        for (Run run = mOrders.take(); run != null; run = mOrders.take()) {
            String obstacle = obstacle(run);
            if (obstacle == null) {
                LogEvent.TASK_ORDERED.log(run.task.name, run.attempt, run.worker.id());
                mOrders.sent(run.worker.id());
                run.worker.start(run);
            } else if (run.task.run == run) {
                vanished(run, obstacle);
            }
        }
    }

    /** Returns why a committed start must not be sent any longer; null if it may. */
    private @Nullable String obstacle(Run run) {
        if (run.task.run != run) {
            return "the run is gone";
        }
        if (run.stopping || run.task.step.job.terminal()) {
            return "the job ended before the order was sent";
        }
        if (run.worker.entry().draining() || mScheduler.isOut(run.worker.entry().domain())) {
            return "the worker is leaving or its failure domain is out";
        }
        return null;
    }

    /** Asks the store first: the process was held up after the commit, and may be deposed. */
    private void confirmOrders() {
        mConfirmingOrders = true;
        Runnable resume =
                () -> {
                    mConfirmingOrders = false;
                    sendOrders();
                };
        if (!mWriter.isBusy()) {
            mWriter.append(List.of(), resume);
        } else {
            mLoop.schedule(TICK_MILLIS, resume);
        }
    }

    private void stopRuns(Job job) {
        if (job.liveRunCount == 0) {
            return;
        }
        job.forEachTask(
                task -> {
                    Run run = task.run;
                    if (run != null) {
                        run.worker.stop(run);
                    }
                });
    }

    @Override
    public long fencingToken() {
        return mEpoch;
    }

    @Override
    public long leaseMillis() {
        return mayOrder() ? mLimits.leaseMillis() : 0;
    }

    @Override
    public boolean mayOrder() {
        return mOpen && mReady && mWriter.unconfirmedMillis() < AUTHORITY_MILLIS;
    }

    @Override
    public void answered(WorkerSession worker, String outcome) {
        mMetrics.order(outcome);
        mOrders.answered(worker.id());
        sendOrders();
    }

    @Override
    public void confirmed(Run run) {
        if (run.stopping || run.task.step.job.terminal()) {
            run.worker.stop(run);
        } else if (run.task.step.spec.filler()) {
            mSharing.pace(run.worker);
        }
    }

    @Override
    public void vanished(Run run, String reason) {
        LogEvent.RUN_GONE.log(run, reason);
        detach(run);
        changed();
    }

    @Override
    public void ended(WorkerSession worker, EndReport end) {
        LogEvent.TASK_ENDED.log(end.task(), end.attempt(), worker.id(), end.kind());
        mMetrics.end(end.kind().name());
        changed();
        TaskName name = end.task();
        Job job = mJobs.get(name.job());
        Task task = job == null ? null : job.task(name.occurrence(), name.step(), name.index());
        if (job == null || task == null) {
            return;
        }
        Run run = task.run;
        boolean current = run != null && run.worker == worker && run.attempt == end.attempt();
        if (current && run != null) {
            detach(run);
        }
        if (!end.checkpoint().isEmpty() && !task.done) {
            task.checkpoint = end.checkpoint();
        }
        switch (end.kind()) {
            case DONE -> done(worker, task);
            case FAILED -> {
                if (current) {
                    failed(worker, task);
                }
            }
            case STOPPED, LAPSED, GANG_BROKEN, GANG_INCOMPLETE -> {}
        }
    }

    private void done(WorkerSession worker, Task task) {
        worker.failureStreak = 0;
        Job job = task.step.job;
        if (task.step.spec.longRunning()) {
            return;
        }
        if (task.step.spec.gang()) {
            for (Task member : task.step.tasks) {
                task.step.markDone(member);
            }
        } else {
            task.step.markDone(task);
        }
        mJobs.changed(job);
        Run other = task.run;
        if (other != null) {
            other.worker.stop(other);
        }
        if (!job.terminal() && job.allDone()) {
            job.phase = JobPhase.COMPLETED;
        }
    }

    private void failed(WorkerSession worker, Task task) {
        worker.failureStreak++;
        task.failureCount++;
        task.failedOn = worker.id();
        Job job = task.step.job;
        mJobs.changed(job);
        int limit = job.queue == null ? Integer.MAX_VALUE : job.queue.attemptLimit();
        if (!job.terminal() && !task.step.spec.longRunning() && task.failureCount >= limit) {
            job.phase = JobPhase.FAILED;
            stopRuns(job);
        }
    }

    @Override
    public void unknownRun(WorkerSession worker, RunReport report) {
        LogEvent.UNKNOWN_RUN.log(report.task(), report.attempt(), worker.id());
        mControl.stop(worker.entry(), report.task(), report.attempt(), mEpoch, FRESH_MILLIS)
                .thenAccept(
                        outcome -> {
                            if (!(outcome instanceof WorkerControl.OrderOutcome.Done)) {
                                LogEvent.ORDER_UNANSWERED.log("stop", report.task(), outcome);
                            }
                        });
    }

    @Override
    public void fenced(WorkerSession worker) {
        LogEvent.WORKER_REFUSED.log(worker.id(), "the fencing token", mEpoch);
        depose("worker " + worker.id() + " has seen a higher fencing token than " + mEpoch);
    }

    @Override
    public void otherLife(WorkerSession worker) {
        if (mWorkers.get(worker.id()) == worker) {
            lose(worker, "another life answers at its address");
            mWorkers.remove(worker);
        }
    }

    @Override
    public void looked(WorkerSession worker) {
        mSharing.looked(worker);
        for (Run run : mSharing.stuck(worker)) {
            if (mScheduler.hasBetterPlace(run, mWorkers.all())) {
                LogEvent.FILLER_MOVED.log(run, run.pacePercent);
                run.task.moveCount++;
                worker.stop(run);
            }
        }
    }

    /** Moves what would lose work when its worker has left, and what is to last. */
    private void leave(WorkerSession worker) {
        long leftMillis = worker.entry().drainLeftMillis();
        for (Run run : new ArrayList<>(worker.runs())) {
            StepSpec spec = run.task.step.spec;
            boolean endsInTime =
                    !spec.longRunning()
                            && spec.estimateMillis() * (100 - run.reportedPercent) / 100
                                    < leftMillis;
            if (spec.longRunning() || (spec.checkpointing() && !endsInTime)) {
                worker.stop(run);
            }
        }
    }

    private final class JobsListener implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            newest.forEach(this::apply);
            takeOverIfLoaded();
            changed();
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            for (KeyedRecord record : records) {
                byte[] value = record.value();
                if (value != null) {
                    apply(record.key(), value);
                }
            }
            Dispatcher.this.changed();
        }

        private void apply(String key, byte[] value) {
            Job job = mJobs.apply(key, value);
            if (job == null || !mReady) {
                return;
            }
            job.knownMillis = mLoop.nowMillis();
            if (job.phase == JobPhase.CANCELLED) {
                LogEvent.JOB_CANCELLED.log(job.submission.job(), job.liveRunCount);
                stopRuns(job);
            } else {
                mStatus.phase(job.submission.job(), job.submission.queue(), job.committedPhase);
            }
        }

        private void changed() {
            Dispatcher.this.changed();
        }
    }

    private final class ProgressListener implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            mProgress = new HashMap<>(newest);
            takeOverIfLoaded();
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            // Only this leader writes progress now.
        }
    }

    private final class WorkersListener implements WorkerRegistry.Listener {
        @Override
        public void loaded() {
            takeOverIfLoaded();
        }

        @Override
        public void changed() {
            Dispatcher.this.changed();
        }

        @Override
        public void restarted(WorkerSession worker) {
            otherLife(worker);
        }

        @Override
        public void draining(WorkerSession worker) {
            leave(worker);
        }
    }
}
