package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.SchedulingOptions;
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
import org.hornbeamward.dispatch.store.RecordHandler;
import org.hornbeamward.dispatch.store.TopicFollower;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * Schedules jobs as the leader of one epoch. It loads jobs, progress and workers, places tasks, and
 * commits every decision to the store before it takes effect. Runs on the loop.
 */
public final class Dispatcher implements WorkerSession.Supervisor {
    /** Name under which every leader appends to the progress topic. */
    private static final String PRODUCER = "leader";

    /** Key of the keep-alive record that an idle leader writes. */
    private static final String KEEP_ALIVE_KEY = "alive";

    /** Keep-alive record by which followers see in the store that the leader is alive. */
    private static final KeyedRecord KEEP_ALIVE_RECORD =
            new KeyedRecord(KEEP_ALIVE_KEY, new byte[] {1});

    /**
     * Key of the record that holds the learned interference between images that share workers. The
     * stored key is an earlier term for the interference.
     */
    private static final String INTERFERENCE_KEY = "pressure";

    /**
     * Minimum time between two writes of the learned interference. A new leader without it needs
     * some seconds to learn it again.
     */
    private static final long INTERFERENCE_SAVE_INTERVAL_MILLIS = 2_000;

    /**
     * Minimum time between two commits that only bring {@link EarlierGrants} up to date. A
     * successor waits longer by up to this time, since it does not know when the record was
     * written.
     */
    private static final long EARLIER_GRANTS_SAVE_INTERVAL_MILLIS = 200;

    /** Period of the checks that no event triggers, such as lapsed leases. */
    private static final long TICK_INTERVAL_MILLIS = 100;

    /** Age of the store's last confirmation after which an idle leader requests another one. */
    private static final long CONFIRM_AFTER_MILLIS = 700;

    /**
     * Age of the store's last confirmation beyond which committed starts are confirmed once more
     * before they are sent. Also the timeout for removing ended jobs and stopping unknown runs.
     */
    private static final long FRESH_CONFIRMATION_MILLIS = 1_000;

    /** Time without a confirmation from the store after which the leader sends no more orders. */
    private static final long MAX_UNCONFIRMED_MILLIS = 4_000;

    /**
     * Time without a confirmation from the store after which the leader renews no more leases. A
     * successor relies on it to compute when the leases of a worker that it cannot reach have
     * lapsed. Leases of 6 s outlast an outage of the store of 6.2 s all the same.
     */
    static final long MAX_RENEWAL_UNCONFIRMED_MILLIS = 2_500;

    /**
     * Longest time that the store holds a read of jobs or progress open without new records. It
     * bounds the age of the known submissions.
     */
    private static final long READ_WAIT_MILLIS = 1_000;

    /**
     * Largest number of jobs that are removed at the same time. A new leader removes all ended jobs
     * that it has loaded after the same time, and a call of the store takes 2 MiB.
     */
    private static final int MAX_JOB_REMOVALS = 1_000;

    /** Delay after a removal of jobs that the store has not confirmed. */
    private static final long REMOVAL_RETRY_DELAY_MILLIS = 1_000;

    /**
     * Minimum time between two searches for a better worker for the same run. Workers report loads
     * as averages over half a second; polls are answered far more often while tasks end.
     */
    private static final long MOVE_SEARCH_INTERVAL_MILLIS = 500;

    /** Largest number of progress records that one commit removes, so that it stays small. */
    private static final int MAX_PROGRESS_REMOVALS = 500;

    private final Loop mLoop;
    private final Store mStore;
    private final WorkerControl mControl;
    private final StatusListener mStatusListener;
    private final DispatchLimits mLimits;
    private final NodeMetrics mMetrics;
    private final CallMonitor mCallMonitor;
    private final PlacementMonitor mPlacementMonitor;
    private final StopMonitor mStopMonitor;
    private final long mEpoch;
    private final FormerLeader mFormerLeader;
    private final FencedWriter.DeposedListener mDeposedListener;
    private final FencedWriter mWriter;
    private final TopicFollower mJobsFollower;
    private final TopicFollower mProgressFollower;
    private final JobTable mJobs = new JobTable();
    private final ProgressRecords mProgressRecords = new ProgressRecords();
    private final WorkerRegistry mWorkers;
    private final List<Run> mUncommittedStarts = new ArrayList<>();
    private final OrderQueue mOrders = new OrderQueue();
    private final Scheduler mScheduler;
    private final AccountControl mAccounts;
    private final AwayTasks mAwayTasks;
    private final FillerController mFillerController;
    private final SlowRunDetector mSlowRunDetector;
    private Map<String, byte[]> mProgress = new HashMap<>();
    private boolean mOpen = true;
    private boolean mReady;
    private boolean mSuspended;
    private boolean mPassScheduled;

    /** Monotonic time at which the next placement pass was first requested. */
    private long mPassRequestedMillis = Long.MAX_VALUE;

    private boolean mAwaitingConfirmation;
    private boolean mLeaseBoundChanged;
    private long mNextRemovalMillis = Long.MIN_VALUE;

    /** Whether the store holds that earlier leaders renew no more leases. */
    private boolean mEarlierGrantsEndSaved;

    private long mEarlierGrantsSavedMillis = Long.MIN_VALUE / 2;

    /** Jobs whose submissions are removed, and whose progress has to be removed. */
    private final Set<JobId> mObsoleteProgress = new LinkedHashSet<>();

    /** Workers whose stored lease bounds belong to no session. */
    private final Set<WorkerId> mObsoleteLeaseBounds = new LinkedHashSet<>();

    /** Keys of stored {@link GrantsAtFencing} that {@link EarlierGrants} replaces. */
    private final Set<String> mObsoleteGrants = new LinkedHashSet<>();

    /** Monotonic time by which earlier leaders had decided on all of their progress records. */
    private long mEarlierRecordsEndMillis = Long.MAX_VALUE;

    /** Monotonic time after which no earlier leader grants a lease. */
    private long mEarlierGrantsEndMillis = Long.MAX_VALUE;

    private long mInterferenceSavedMillis = Long.MIN_VALUE;

    /**
     * Creates the leader of an epoch.
     *
     * @param loop event loop that provides the clocks and timers
     * @param store the platform's store
     * @param control sends orders to workers
     * @param documents decodes the workers' entries
     * @param statusListener receives the committed phases of jobs
     * @param limits limits of the platform
     * @param metrics counts orders, ended runs and jobs
     * @param epoch the epoch, which is also the fencing token
     * @param formerLeader what is known of the leader of the epoch before
     * @param deposedListener called when a successor has taken over
     */
    public Dispatcher(
            Loop loop,
            Store store,
            WorkerControl control,
            Documents documents,
            StatusListener statusListener,
            DispatchLimits limits,
            NodeMetrics metrics,
            long epoch,
            FormerLeader formerLeader,
            FencedWriter.DeposedListener deposedListener) {
        mLoop = loop;
        mStore = store;
        mControl = control;
        mStatusListener = statusListener;
        mLimits = limits;
        mMetrics = metrics;
        mCallMonitor = new CallMonitor(loop, metrics);
        mPlacementMonitor = new PlacementMonitor(loop, metrics);
        mStopMonitor = new StopMonitor(loop, metrics);
        mEpoch = epoch;
        mFormerLeader = formerLeader;
        mDeposedListener = deposedListener;
        mWriter = new FencedWriter(loop, store, Topic.PROGRESS, PRODUCER, epoch, this::depose);
        mJobsFollower =
                new TopicFollower(loop, store, Topic.JOBS, READ_WAIT_MILLIS, 0, new JobsListener());
        mProgressFollower =
                new TopicFollower(
                        loop, store, Topic.PROGRESS, READ_WAIT_MILLIS, 0, new ProgressListener());
        mWorkers =
                new WorkerRegistry(loop, store, documents, this::newSession, new WorkersListener());
        mFillerController = new FillerController(loop);
        mAccounts = new AccountControl(loop, metrics);
        mScheduler = new Scheduler(mJobs, mAccounts, mFillerController, mPlacementMonitor);
        mAwayTasks = new AwayTasks(loop, metrics, mJobs, mWorkers, mScheduler, mAccounts);
        mSlowRunDetector = new SlowRunDetector(loop);
    }

    /** Fences the previous leader, then loads the stored state and takes over. */
    public void start() {
        mWriter.append(
                List.of(KEEP_ALIVE_RECORD),
                () -> {
                    noteEarlierLeaders();
                    saveGrantsAtFencing();
                    mProgressFollower.start();
                    mJobsFollower.start();
                    mWorkers.start();
                    confirmWhileLoading();
                });
    }

    /** Determines until when earlier leaders have acted; now they are fenced. */
    private void noteEarlierLeaders() {
        long now = mLoop.nowMillis();
        mEarlierRecordsEndMillis = now;
        mEarlierGrantsEndMillis = now + MAX_RENEWAL_UNCONFIRMED_MILLIS;
        switch (mFormerLeader) {
            case FormerLeader.Unknown unknown -> {}
            case FormerLeader.Stopped stopped -> {
                // A leader of which no record is known may not have fenced the one before it.
                if (stopped.firstSeenMillis() < now) {
                    mEarlierRecordsEndMillis = stopped.stoppedMillis();
                    mEarlierGrantsEndMillis =
                            Math.max(
                                    stopped.stoppedMillis(),
                                    stopped.firstSeenMillis() + MAX_RENEWAL_UNCONFIRMED_MILLIS);
                }
            }
            case FormerLeader.Silent silent -> {
                // The fencing record follows directly on the last one that the entry knew of,
                // unless the former leader has appended others meanwhile.
                if (mWriter.endOffset() == silent.progressOffset() + 1) {
                    mEarlierRecordsEndMillis = silent.sinceMillis();
                    mEarlierGrantsEndMillis = silent.sinceMillis() + MAX_RENEWAL_UNCONFIRMED_MILLIS;
                }
            }
        }
    }

    /** Stores what is known of earlier renewals, in case this leader stops before it has loaded. */
    private void saveGrantsAtFencing() {
        // A successor relies on it that nothing is recorded once the leader has resigned.
        if (!mSuspended) {
            mObsoleteGrants.add(GrantsAtFencing.key(mEpoch));
            GrantsAtFencing grants =
                    GrantsAtFencing.of(
                            mEpoch, mFormerLeader, mEarlierGrantsEndMillis, mLoop.nowMillis());
            mWriter.append(List.of(grants.toRecord()), this::requestPass);
        }
    }

    /**
     * Appends keep-alive records until the regular commits begin. Loading thousands of runs takes
     * seconds, and followers depose a leader that the store has not confirmed recently.
     */
    private void confirmWhileLoading() {
        if (!mOpen || mReady) {
            return;
        }
        if (!mWriter.isBusy() && mWriter.unconfirmedMillis() > CONFIRM_AFTER_MILLIS) {
            mWriter.append(List.of(KEEP_ALIVE_RECORD), () -> {});
        }
        mLoop.schedule(TICK_INTERVAL_MILLIS, this::confirmWhileLoading);
    }

    /** Grants no leases, sends no orders and records nothing until {@link #resume} is called. */
    public void suspend() {
        mSuspended = true;
    }

    /** Leads on after a suspension. */
    public void resume() {
        mSuspended = false;
        requestPass();
        sendOrders();
    }

    /** Stops scheduling, sends no more orders and gives up those in flight. */
    public void close() {
        if (!mOpen) {
            return; // The calls in flight may be those of a later leader of this process.
        }
        mOpen = false;
        mWriter.close();
        mJobsFollower.stop();
        mProgressFollower.stop();
        mWorkers.close();
        mAwayTasks.close();
        mStopMonitor.close();
        // Last, since the closed sessions ignore the outcomes.
        mControl.abandonCalls();
    }

    /**
     * Applies a configuration.
     *
     * @param config configuration that replaces the current one
     */
    public void configure(ClusterConfig config) {
        mJobs.configure(config);
        mScheduler.configure(config);
        requestPass();
    }

    /**
     * Sets what the deployment's own settings choose.
     *
     * @param options options that replace the present ones
     */
    public void setOptions(SchedulingOptions options) {
        mScheduler.setOptions(options);
    }

    /**
     * Sets the failure domains that are taken out of service, in which no task is started.
     *
     * @param domains the failure domains
     */
    public void takeOut(Set<FailureDomainId> domains) {
        mScheduler.takeOut(domains);
        requestPass();
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
     * Describes the state for an operator.
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
        lines.addAll(mAccounts.describe(mJobs.active()));
        mWorkers.all().forEach(worker -> lines.add(worker.describe()));
        return lines;
    }

    /**
     * Returns how long ago the store last confirmed this leader.
     *
     * @return milliseconds
     */
    public long unconfirmedMillis() {
        return mWriter.unconfirmedMillis();
    }

    /**
     * Returns the offset after the last progress record that this leader has written.
     *
     * @return the offset; -1 before the first one
     */
    public long progressOffset() {
        return mWriter.endOffset();
    }

    /**
     * Returns the age of the known submissions.
     *
     * @return milliseconds
     */
    public long jobsAgeMillis() {
        return mJobsFollower.ageMillis();
    }

    /**
     * Returns how long the oldest job beyond the share of its client account has been waiting for
     * workers.
     *
     * @return milliseconds; 0 if none waits
     */
    public long beyondShareWaitMillis() {
        return mReady ? mAccounts.beyondShareWaitMillis(mJobs.active()) : 0;
    }

    private void depose(String reason) {
        if (mOpen) {
            close();
            mDeposedListener.deposed(reason);
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
        mProgress.remove(KEEP_ALIVE_KEY);
        restoreInterference(mProgress.remove(INTERFERENCE_KEY));
        restoreEarlierGrants(StoredGrants.take(mProgress));
        Map<WorkerId, byte[]> leaseBounds = removeLeaseBounds();
        for (Map.Entry<String, byte[]> entry : mProgressRecords.load(mProgress).entrySet()) {
            try {
                inherited += inherit(entry.getKey(), entry.getValue());
            } catch (RuntimeException e) {
                LogEvent.RECORD_SKIPPED.log(e, "progress of job " + entry.getKey());
            }
        }
        mProgress = new HashMap<>();
        mObsoleteProgress.addAll(mProgressRecords.finishLoading(this::isRemoved));
        leaseBounds.forEach(this::restoreLeaseBound);
        mAccounts.loaded(mJobs.all());
        for (Job job : new ArrayList<>(mJobs.all())) {
            job.endedMillis = mLoop.nowMillis();
            mStatusListener.phaseChanged(job.submission, job.committedPhase);
            if (job.terminal()) {
                stopRuns(job);
            }
            mJobs.deactivateIfEnded(job);
        }
        mStatusListener.allPhasesReported();
        mAwayTasks.takenOver();
        LogEvent.LEADER_READY.log(mEpoch, mJobs.all().size(), inherited, mWorkers.size());
        tick();
    }

    /** Removes the lease bounds from the loaded progress and returns them. */
    private Map<WorkerId, byte[]> removeLeaseBounds() {
        Map<WorkerId, byte[]> bounds = new LinkedHashMap<>();
        mProgress
                .entrySet()
                .removeIf(
                        entry ->
                                LeaseBound.parseKey(entry.getKey())
                                        .peek(worker -> bounds.put(worker, entry.getValue()))
                                        .isDefined());
        return bounds;
    }

    private void restoreLeaseBound(WorkerId id, byte[] value) {
        WorkerSession worker = mWorkers.get(id);
        try {
            LeaseBound bound = LeaseBound.decode(value);
            if (worker != null
                    && worker.incarnationStartWallMillis() == bound.incarnationStartWallMillis()) {
                worker.restoreLeaseBound(bound, mEarlierRecordsEndMillis);
                return;
            }
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "lease bound of worker " + id + " cannot be read");
        }
        mObsoleteLeaseBounds.add(id);
        mLeaseBoundChanged = true;
    }

    private void restoreInterference(byte @Nullable [] value) {
        mInterferenceSavedMillis = mLoop.nowMillis();
        if (value == null) {
            return;
        }
        try {
            mFillerController.restoreLearned(value);
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "learned interference cannot be read");
        }
    }

    /**
     * Lowers the bound for renewals by earlier leaders to what the former leader knew of the ones
     * before it, if that one has stopped.
     */
    private void restoreEarlierGrants(StoredGrants stored) {
        mObsoleteGrants.addAll(stored.fencingKeys());
        if (!(mFormerLeader instanceof FormerLeader.Stopped stopped)) {
            return;
        }
        OptionalLong remainingMillis = stored.remainingMillis(stopped.epoch());
        if (remainingMillis.isPresent()) {
            // The record shows that the former leader has fenced the ones before it.
            mEarlierRecordsEndMillis = stopped.stoppedMillis();
            mEarlierGrantsEndMillis =
                    Math.min(
                            mEarlierGrantsEndMillis,
                            mEarlierRecordsEndMillis + remainingMillis.getAsLong());
            mWorkers.all().forEach(worker -> worker.boundInheritedLeases(mEarlierGrantsEndMillis));
        }
    }

    private boolean isRemoved(JobId id) {
        return mJobs.get(id) == null && !mJobs.isUnreadable(id);
    }

    private int inherit(String key, byte[] value) {
        Job job = JobId.parse(key).map(mJobs::get).getOrElse(() -> null);
        if (job == null) {
            LogEvent.RECORD_SKIPPED.log("progress of job " + key + ", which has no submission");
            // Earlier leaders are fenced, and a submission is stored before its progress, so a
            // submission that was not loaded has been removed.
            JobId.parse(key).toOption().filter(this::isRemoved).forEach(mObsoleteProgress::add);
            return 0;
        }
        List<ProgressCodec.LiveRun> runs;
        try {
            runs = mProgressRecords.restore(job, value);
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "progress of job " + key + " cannot be read");
            return 0;
        }
        runs.forEach(this::inherit);
        return runs.size();
    }

    /**
     * Takes over a run. The worker may have restarted before it received the order, so a later
     * incarnation does not show that the run has ended.
     */
    private void inherit(ProgressCodec.LiveRun live) {
        WorkerSession worker = mWorkers.get(live.worker());
        if (worker == null) {
            worker = mWorkers.addUnlisted(live.worker(), live.incarnationStartWallMillis());
        }
        if (live.mayHoldLongestLease()
                || worker.incarnationStartWallMillis() != live.incarnationStartWallMillis()) {
            worker.inheritLongestLease(mEarlierGrantsEndMillis, mLimits.longestLeaseMillis());
        }
        Run run = new Run(live.task(), live.attempt(), worker, "");
        run.state = Run.State.INHERITED;
        run.inheritedIncarnationStartWallMillis = live.incarnationStartWallMillis();
        run.resumed = true;
        run.paceUncertain = true;
        attach(run);
    }

    private void attach(Run run) {
        run.task.run = run;
        run.task.lastAttempt = Math.max(run.task.lastAttempt, run.attempt);
        run.task.step.job.liveRunCount++;
        run.worker.add(run);
        mAccounts.attached(run);
        mAwayTasks.runPlaced(run);
    }

    private void detach(Run run) {
        run.worker.remove(run);
        if (run.task.run == run) {
            mAccounts.detached(run);
            run.task.run = null;
            // A later start that was not carried out does not begin the time away anew.
            if (run.wasAtWork() || run.attempt == 1) {
                run.task.awaySinceMillis = run.worker.lastContactMillis();
            }
            run.task.waitingSinceMillis = Long.MAX_VALUE;
            run.task.step.job.liveRunCount--;
            mJobs.markChanged(run.task.step.job);
        }
    }

    private WorkerSession newSession(WorkerEntry entry) {
        WorkerSession worker = new WorkerSession(mLoop, mControl, this, entry);
        worker.inheritLeases(mEarlierGrantsEndMillis, mLimits.leaseMillis());
        return worker;
    }

    private void tick() {
        if (!mOpen) {
            return;
        }
        // Scheduled first, so that an error in this tick does not end the checks of all workers.
        mLoop.schedule(TICK_INTERVAL_MILLIS, this::tick);
        for (WorkerSession worker : new ArrayList<>(mWorkers.all())) {
            try {
                checkWorker(worker);
            } catch (RuntimeException e) {
                LogEvent.DUTY_FAILED.log(e, "session with worker " + worker.id());
            }
        }
        removeEndedJobs();
        mPlacementMonitor.logIfDue(mOrders.size());
        mStopMonitor.logIfDue(mWorkers.all());
        checkAwayTasks();
        // A successor relies on it that nothing is recorded once the leader has resigned.
        if (!mSuspended
                && !mWriter.isBusy()
                && mWriter.unconfirmedMillis() > CONFIRM_AFTER_MILLIS) {
            commit();
        }
        runPlacementPass();
    }

    private void checkAwayTasks() {
        try {
            mAwayTasks.checkIfDue(unconfirmedMillis());
        } catch (RuntimeException e) {
            LogEvent.DUTY_FAILED.log(e, "report on tasks that are away");
        }
    }

    private void checkWorker(WorkerSession worker) {
        if (worker.silent() && !worker.runs().isEmpty() && worker.leasesLapsed()) {
            loseWorker(
                    worker,
                    GoneEvidence.LEASES_LAPSED,
                    "its leases have lapsed and it does not answer");
        } else {
            worker.repeatOrders();
        }
        mLeaseBoundChanged |= worker.isLeaseBoundDue();
    }

    private void loseWorker(WorkerSession worker, GoneEvidence evidence, String reason) {
        LogEvent.WORKER_LOST.log(
                worker.id(),
                worker.incarnationStartWallMillis()
                        + (" at epoch " + mEpoch + " with " + worker.runs().size() + " runs (")
                        + (reason + "; " + worker.describeLeases() + ")"));
        for (Run run : new ArrayList<>(worker.runs())) {
            runGone(run, evidence, reason);
        }
    }

    private void removeEndedJobs() {
        if (mLoop.nowMillis() < mNextRemovalMillis) {
            return;
        }
        long keepMillis = 2 * mLimits.statusMillis();
        List<KeyedRecord> removed = new ArrayList<>();
        List<Job> removedJobs = new ArrayList<>();
        for (Job job : mJobs.all()) {
            if (removedJobs.size() < MAX_JOB_REMOVALS
                    && job.committedPhase.terminal()
                    && job.liveRunCount == 0
                    && mLoop.nowMillis() - job.endedMillis > keepMillis) {
                JobId id = job.submission.job();
                removedJobs.add(job);
                removed.add(new KeyedRecord(JobKeys.submission(id), null));
                removed.add(new KeyedRecord(JobKeys.cancellation(id), null));
            }
        }
        for (JobId id : mJobs.removeOrphanedCancellations(mLoop.nowMillis() - keepMillis)) {
            removed.add(new KeyedRecord(JobKeys.cancellation(id), null));
        }
        if (!removed.isEmpty()) {
            mNextRemovalMillis =
                    mLoop.nowMillis() + FRESH_CONFIRMATION_MILLIS + REMOVAL_RETRY_DELAY_MILLIS;
            mStore.append(
                            Topic.JOBS,
                            removed,
                            new Store.Condition.Always(),
                            FRESH_CONFIRMATION_MILLIS)
                    .thenAccept(outcome -> removalAnswered(removedJobs, outcome));
        }
    }

    /**
     * Forgets jobs once the store has removed their submissions. Before, one that the leader reads
     * anew, or a later leader finds without progress, would run again.
     */
    private void removalAnswered(List<Job> jobs, Store.AppendOutcome outcome) {
        if (!mOpen) {
            return;
        }
        LogEvent.JOBS_FORGOTTEN.log(jobs.size(), outcome);
        if (!(outcome instanceof Store.AppendOutcome.Appended)) {
            mNextRemovalMillis = mLoop.nowMillis() + REMOVAL_RETRY_DELAY_MILLIS;
            return;
        }
        mNextRemovalMillis = mLoop.nowMillis();
        for (Job job : jobs) {
            JobId id = job.submission.job();
            if (mJobs.get(id) == job) {
                mJobs.remove(job);
                mStatusListener.jobRemoved(id);
                mObsoleteProgress.add(id);
            }
        }
    }

    /** Schedules one placement pass for all events of the current loop iteration. */
    @Override
    public void requestPass() {
        mPassRequestedMillis = Math.min(mPassRequestedMillis, mLoop.nowMillis());
        if (mReady && mOpen && !mPassScheduled) {
            mPassScheduled = true;
            mLoop.schedule(
                    0,
                    () -> {
                        mPassScheduled = false;
                        runPlacementPass();
                    });
        }
    }

    private void runPlacementPass() {
        if (!mOpen || !mReady || mSuspended) {
            return;
        }
        if (!mWriter.isBusy()) {
            if (mPassRequestedMillis != Long.MAX_VALUE) {
                mPlacementMonitor.passStarted(mLoop.nowMillis() - mPassRequestedMillis);
                mPassRequestedMillis = Long.MAX_VALUE;
            }
            for (Run run : mScheduler.place(mWorkers.all(), mLoop)) {
                attach(run);
                mUncommittedStarts.add(run);
                mJobs.markChanged(run.task.step.job);
            }
            if (mJobs.hasChanges() || mLeaseBoundChanged || isEarlierGrantsDue()) {
                commit();
            } else {
                mWorkers.all().forEach(worker -> worker.endsStored(worker.seenEndNumber()));
            }
        }
    }

    private void commit() {
        List<Job> changed = mJobs.takeChanged();
        List<Run> starts = new ArrayList<>(mUncommittedStarts);
        mUncommittedStarts.clear();
        Map<WorkerSession, Long> ends = new HashMap<>();
        mWorkers.all().forEach(worker -> ends.put(worker, worker.seenEndNumber()));
        List<KeyedRecord> records = new ArrayList<>();
        addProgressRemovals(records);
        Map<Job, JobPhase> phases = new LinkedHashMap<>();
        records.addAll(mProgressRecords.encode(changed, mLoop.nowMillis()));
        changed.forEach(job -> phases.put(job, job.phase));
        if (mReady
                && mLoop.nowMillis() - mInterferenceSavedMillis
                        >= INTERFERENCE_SAVE_INTERVAL_MILLIS) {
            mInterferenceSavedMillis = mLoop.nowMillis();
            records.add(new KeyedRecord(INTERFERENCE_KEY, mFillerController.encodeLearned()));
        }
        addEarlierGrants(records);
        List<WorkerSession> answering = addLeaseBounds(records);
        if (records.isEmpty()) {
            // The keep-alive record shows followers in the store that the leader is alive.
            records.add(KEEP_ALIVE_RECORD);
        }
        mWriter.append(
                records,
                () -> {
                    answering.forEach(WorkerSession::leaseBoundRemoved);
                    committed(phases, starts, ends);
                });
    }

    private boolean isEarlierGrantsDue() {
        return !mEarlierGrantsEndSaved
                && mLoop.nowMillis() - mEarlierGrantsSavedMillis
                        >= EARLIER_GRANTS_SAVE_INTERVAL_MILLIS;
    }

    /** Adds how long earlier leaders may renew leases, until a commit says that they do not. */
    private void addEarlierGrants(List<KeyedRecord> records) {
        if (!mEarlierGrantsEndSaved) {
            mEarlierGrantsSavedMillis = mLoop.nowMillis();
            long remainingMillis = Math.max(0, mEarlierGrantsEndMillis - mEarlierGrantsSavedMillis);
            records.add(new EarlierGrants(mEpoch, remainingMillis).toRecord());
            mEarlierGrantsEndSaved = remainingMillis == 0;
        }
        // Only with or after the record that replaces them.
        mObsoleteGrants.forEach(key -> records.add(new KeyedRecord(key, null)));
        mObsoleteGrants.clear();
    }

    private void addProgressRemovals(List<KeyedRecord> records) {
        Iterator<JobId> obsolete = mObsoleteProgress.iterator();
        for (int count = 0; count < MAX_PROGRESS_REMOVALS && obsolete.hasNext(); count++) {
            JobId id = obsolete.next();
            obsolete.remove();
            // A job that was submitted again under the id must not inherit the old progress.
            Job successor = mJobs.get(id);
            records.addAll(
                    successor == null
                            ? mProgressRecords.remove(id)
                            : mProgressRecords.encode(List.of(successor), mLoop.nowMillis()));
        }
    }

    /**
     * Adds the lease bounds of silent workers and removes those of workers that answer again.
     *
     * @return the workers whose leases may be renewed after the commit
     */
    private List<WorkerSession> addLeaseBounds(List<KeyedRecord> records) {
        mLeaseBoundChanged = false;
        mObsoleteLeaseBounds.forEach(id -> records.add(LeaseBound.removal(id)));
        mObsoleteLeaseBounds.clear();
        List<WorkerSession> answering = new ArrayList<>();
        for (WorkerSession worker : mWorkers.all()) {
            worker.takeLeaseBound().ifPresent(bound -> records.add(bound.toRecord(worker.id())));
            if (worker.isLeaseBoundStored() && !worker.needsLeaseBound()) {
                records.add(LeaseBound.removal(worker.id()));
                answering.add(worker);
            }
        }
        return answering;
    }

    private void committed(
            Map<Job, JobPhase> phases, List<Run> starts, Map<WorkerSession, Long> ends) {
        phases.forEach(this::phaseCommitted);
        ends.forEach(WorkerSession::endsStored);
        mOrders.add(starts);
        sendOrders();
        runPlacementPass();
    }

    private void phaseCommitted(Job job, JobPhase phase) {
        if (job.committedPhase != phase) {
            job.committedPhase = phase;
            mStatusListener.phaseChanged(job.submission, phase);
            long ageMillis = mLoop.wallMillis() - job.submission.acceptedWallMillis();
            if (phase == JobPhase.RUNNING) {
                mMetrics.recordFirstStart(ageMillis);
            }
            if (phase.terminal()) {
                job.endedMillis = mLoop.nowMillis();
                mMetrics.recordJobEnd(ageMillis);
                LogEvent.JOB_ENDED.log(job.submission.job(), phase, ageMillis);
            }
        }
        mJobs.deactivateIfEnded(job);
    }

    private void sendOrders() {
        if (!mOpen || mSuspended || mOrders.isEmpty() || mAwaitingConfirmation) {
            return;
        }
        if (mWriter.unconfirmedMillis() > FRESH_CONFIRMATION_MILLIS) {
            confirmOrders();
            return;
        }
        for (Run run = mOrders.take(); run != null; run = mOrders.take()) {
            String reason = reasonNotToStart(run);
            if (reason == null) {
                LogEvent.TASK_ORDERED.log(
                        run.task.name,
                        run.attempt,
                        run.worker.id(),
                        run.worker.incarnationStartWallMillis(),
                        mEpoch);
                mPlacementMonitor.orderSent(mLoop.nowMillis() - run.placedMillis);
                mOrders.sent(run.worker.id());
                run.worker.start(run);
            } else if (run.task.run == run) {
                runGone(run, GoneEvidence.NOT_SENT, reason);
            }
        }
    }

    /** Returns why a committed start must no longer be sent; null if it may be sent. */
    private @Nullable String reasonNotToStart(Run run) {
        if (run.task.run != run) {
            return "the run is gone";
        }
        if (run.stopping || run.task.step.job.terminal()) {
            return "the job ended before the order was sent";
        }
        if (run.worker.silent() || run.worker.isLeaseBoundStored()) {
            // The order would prolong leases that are bounded in the store.
            return "the worker does not answer, or did not until now";
        }
        if (run.worker.entry().draining() || mScheduler.isOut(run.worker.entry().domain())) {
            return "the worker is leaving or its failure domain is out";
        }
        return null;
    }

    /**
     * Confirms the epoch in the store before starts are sent: the process was delayed after the
     * commit and may have been deposed meanwhile.
     */
    private void confirmOrders() {
        mAwaitingConfirmation = true;
        Runnable resume =
                () -> {
                    mAwaitingConfirmation = false;
                    sendOrders();
                };
        if (!mWriter.isBusy()) {
            // With a record, so that an entry that follows the topic sees every confirmation.
            mWriter.append(List.of(KEEP_ALIVE_RECORD), resume);
        } else {
            mLoop.schedule(TICK_INTERVAL_MILLIS, resume);
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
        return mayOrder() && mWriter.unconfirmedMillis() < MAX_RENEWAL_UNCONFIRMED_MILLIS
                ? mLimits.leaseMillis()
                : 0;
    }

    @Override
    public long longestLeaseMillis() {
        return mLimits.longestLeaseMillis();
    }

    @Override
    public long stopTimeoutMillis() {
        return mLimits.stopTimeoutMillis();
    }

    @Override
    public boolean mayOrder() {
        return mOpen
                && mReady
                && !mSuspended
                && mWriter.unconfirmedMillis() < MAX_UNCONFIRMED_MILLIS;
    }

    @Override
    public CallMonitor callMonitor() {
        return mCallMonitor;
    }

    @Override
    public void startAnswered(WorkerSession worker, String outcome) {
        mMetrics.recordStartOrder(outcome);
        mOrders.answered(worker.id());
        sendOrders();
    }

    @Override
    public void runConfirmed(Run run) {
        mAwayTasks.runConfirmed(run);
        noteStarted(run.task.step.job);
        if (run.stopping || run.task.step.job.terminal()) {
            run.worker.stop(run);
        } else if (run.task.step.spec.filler()) {
            mFillerController.pace(run.worker);
        }
    }

    /**
     * Shows a job as running once a worker has started one of its tasks. A start order without an
     * answer may never be carried out, and callers count such a job as waiting.
     */
    private void noteStarted(Job job) {
        if (job.phase == JobPhase.QUEUED) {
            job.phase = JobPhase.RUNNING;
            mJobs.markChanged(job);
        }
    }

    @Override
    public void runGone(Run run, GoneEvidence evidence, String reason) {
        LogEvent.RUN_GONE.log(run, reason);
        mMetrics.recordRunGone(evidence.name());
        mAwayTasks.runGone(run, reason);
        mStopMonitor.runGone(run);
        detach(run);
        requestPass();
    }

    @Override
    public void runEnded(WorkerSession worker, EndReport end) {
        LogEvent.TASK_ENDED.log(
                end.task(),
                end.attempt(),
                worker.id(),
                worker.incarnationStartWallMillis(),
                end.kind());
        mMetrics.recordRunEnd(end.kind().name());
        requestPass();
        TaskName name = end.task();
        Job job = mJobs.get(name.job());
        Task task = job == null ? null : job.task(name.occurrence(), name.step(), name.index());
        if (job == null || task == null) {
            return;
        }
        noteStarted(job);
        Run run = task.run;
        boolean current = run != null && run.worker == worker && run.attempt == end.attempt();
        if (current && run != null) {
            run.hasEnded = true;
            if (end.kind() == WorkerControl.EndKind.DONE) {
                mSlowRunDetector.runDone(run);
            }
            mAwayTasks.runEnded(run, end.kind());
            mStopMonitor.runGone(run);
            detach(run);
        }
        if (!task.done) {
            task.checkpoint.offer(end.checkpoint(), end.attempt(), Checkpoint.END_PERCENT);
        }
        switch (end.kind()) {
            case DONE -> taskDone(worker, task);
            case FAILED -> {
                if (current) {
                    taskFailed(worker, task, end.attempt());
                }
            }
            case STOPPED, LAPSED, GANG_BROKEN, GANG_INCOMPLETE -> {}
        }
    }

    private void taskDone(WorkerSession worker, Task task) {
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
        mJobs.markChanged(job);
        Run duplicate = task.run;
        if (duplicate != null) {
            duplicate.worker.stop(duplicate);
        }
        if (!job.terminal() && job.allDone()) {
            job.phase = JobPhase.COMPLETED;
        }
    }

    private void taskFailed(WorkerSession worker, Task task, int attempt) {
        worker.failureStreak++;
        task.failedOn = worker.id();
        Job job = task.step.job;
        mJobs.markChanged(job);
        Task counter = task.step.failureCounter(task);
        if (task.step.spec.gang() && attempt <= counter.lastFailedAttempt) {
            return; // Another member has failed in the same run of the gang.
        }
        counter.lastFailedAttempt = attempt;
        counter.failureCount++;
        int limit = job.queue == null ? Integer.MAX_VALUE : job.queue.attemptLimit();
        if (!job.terminal() && !task.step.spec.longRunning() && counter.failureCount >= limit) {
            job.phase = JobPhase.FAILED;
            stopRuns(job);
        }
    }

    @Override
    public void unknownRun(WorkerSession worker, RunReport report) {
        LogEvent.UNKNOWN_RUN.log(
                report.task(), report.attempt(), worker.id(), worker.incarnationStartWallMillis());
        Task task = waitingTask(report.task());
        if (task != null && report.attempt() < Integer.MAX_VALUE) {
            // The task must not start elsewhere before this run is certainly gone.
            Run run = new Run(task, report.attempt(), worker, "");
            run.paceUncertain = true;
            attach(run);
            worker.adopt(run);
            mJobs.markChanged(task.step.job);
            return;
        }
        mControl.stop(
                        worker.entry(),
                        report.task(),
                        report.attempt(),
                        mEpoch,
                        FRESH_CONFIRMATION_MILLIS)
                .thenAccept(
                        outcome -> {
                            if (!(outcome instanceof WorkerControl.OrderOutcome.Done)) {
                                LogEvent.ORDER_UNANSWERED.log("stop", report.task(), outcome);
                            }
                        });
    }

    /** Returns the task of a name if it may be placed: it is not done and has no run. */
    private @Nullable Task waitingTask(TaskName name) {
        Job job = mJobs.get(name.job());
        Task task =
                job == null || job.terminal()
                        ? null
                        : job.task(name.occurrence(), name.step(), name.index());
        return task == null || task.done || task.run != null ? null : task;
    }

    @Override
    public void fenced(WorkerSession worker) {
        LogEvent.WORKER_REFUSED.log(worker.id(), "the fencing token", mEpoch);
        depose("worker " + worker.id() + " has seen a higher fencing token than " + mEpoch);
    }

    @Override
    public void leaseBoundChanged() {
        mLeaseBoundChanged = true;
        requestPass();
    }

    @Override
    public void addressTaken(WorkerSession worker) {
        if (mWorkers.get(worker.id()) == worker) {
            loseWorker(
                    worker,
                    GoneEvidence.OTHER_WORKER,
                    "another worker answers at its address " + worker.entry().address());
            mWorkers.remove(worker);
            dropLeaseBound(worker);
        }
    }

    /** Has the lease bound of a closed session removed from the store. */
    private void dropLeaseBound(WorkerSession worker) {
        if (worker.isLeaseBoundStored()) {
            mObsoleteLeaseBounds.add(worker.id());
            leaseBoundChanged();
        }
    }

    @Override
    public void restarted(WorkerSession worker, long startWallMillis, long clockMillis) {
        if (mWorkers.get(worker.id()) == worker) {
            WorkerEntry entry = worker.entry().ofLaterIncarnation(startWallMillis, clockMillis);
            moveRuns(worker, mWorkers.replace(worker, entry));
        }
    }

    /**
     * Moves the runs that may be present on the later incarnation of a worker to its session, and
     * gives up those that have ended with the earlier one.
     */
    private void moveRuns(WorkerSession ended, WorkerSession successor) {
        dropLeaseBound(ended);
        int movedCount = 0;
        int endedCount = 0;
        for (Run run : new ArrayList<>(ended.runs())) {
            if (run.mayBeOnLaterIncarnation()) {
                mAwayTasks.runMoved(run);
                detach(run);
                attach(run.onLaterIncarnation(successor));
                movedCount++;
            } else {
                runGone(run, GoneEvidence.RESTARTED, "its worker has restarted");
                endedCount++;
            }
        }
        LogEvent.WORKER_RESTARTED.log(
                ended.id(),
                ended.incarnationStartWallMillis(),
                successor.incarnationStartWallMillis(),
                endedCount,
                movedCount);
        // The deadlines of orders for the earlier incarnation lie far ahead on the clock of the
        // later one, which shortens the leases to the longest that it grants.
        successor.inheritLongestLease(
                Math.max(mLoop.nowMillis(), mEarlierGrantsEndMillis), mLimits.longestLeaseMillis());
        successor.repeatOrders();
    }

    @Override
    public void polled(WorkerSession worker) {
        mFillerController.learnAndPace(worker);
        for (Run run : mFillerController.movableFillers(worker)) {
            if (isMoveSearchDue(run) && mScheduler.hasBetterPlacement(run, mWorkers.all())) {
                LogEvent.FILLER_MOVED.log(run, run.pacePercent);
                run.task.moveCount++;
                worker.stop(run);
            }
        }
        for (Run run :
                mSlowRunDetector.observe(
                        worker,
                        slow ->
                                isMoveSearchDue(slow)
                                        && mScheduler.hasHealthyPlacement(slow, mWorkers.all()))) {
            LogEvent.SLOW_RUN_MOVED.log(run, run.reportedProgressPercent);
            run.task.moveCount++;
            worker.stop(run);
        }
    }

    private boolean isMoveSearchDue(Run run) {
        long now = mLoop.nowMillis();
        if (run.moveSearchedMillis != Run.NEVER
                && now - run.moveSearchedMillis < MOVE_SEARCH_INTERVAL_MILLIS) {
            return false;
        }
        run.moveSearchedMillis = now;
        return true;
    }

    /**
     * Stops the long-running tasks of a draining worker, and the checkpointing tasks that cannot
     * finish before it leaves, so that they resume on other workers.
     */
    private void stopForDrain(WorkerSession worker) {
        long timeLeftMillis = worker.entry().drainLeftMillis();
        for (Run run : new ArrayList<>(worker.runs())) {
            StepSpec spec = run.task.step.spec;
            boolean finishesInTime =
                    !spec.longRunning()
                            && spec.estimateMillis() * (100 - run.reportedProgressPercent) / 100
                                    < timeLeftMillis;
            if (spec.longRunning() || (spec.checkpointing() && !finishesInTime)) {
                worker.stop(run);
            }
        }
    }

    private final class JobsListener implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            RecordHandler.handleAll(newest, this::apply);
            takeOverIfLoaded();
            requestPass();
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            RecordHandler.handleAll(records, this::apply);
            Dispatcher.this.requestPass();
        }

        private void apply(String key, byte @Nullable [] value) {
            Job job = value == null ? null : mJobs.apply(key, value, mLoop.nowMillis());
            if (job == null || !mReady) {
                return;
            }
            job.knownSinceMillis = mLoop.nowMillis();
            mAccounts.arrived(job);
            if (job.phase == JobPhase.CANCELLED) {
                LogEvent.JOB_CANCELLED.log(job.submission.job(), job.liveRunCount);
                stopRuns(job);
            } else {
                mStatusListener.phaseChanged(job.submission, job.committedPhase);
            }
        }

        private void requestPass() {
            Dispatcher.this.requestPass();
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
            // This leader is the only writer of progress records, so there is nothing to apply.
        }
    }

    private final class WorkersListener implements WorkerRegistry.Listener {
        @Override
        public void loaded() {
            takeOverIfLoaded();
        }

        @Override
        public void changed() {
            Dispatcher.this.requestPass();
        }

        @Override
        public void restarted(WorkerSession ended, WorkerSession successor) {
            moveRuns(ended, successor);
        }

        @Override
        public void draining(WorkerSession worker) {
            stopForDrain(worker);
        }
    }
}
