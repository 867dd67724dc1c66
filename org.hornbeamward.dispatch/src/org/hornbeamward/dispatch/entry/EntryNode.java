package org.hornbeamward.dispatch.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.hornbeamward.dispatch.account.AccessCheck;
import org.hornbeamward.dispatch.account.AccessCheck.Access;
import org.hornbeamward.dispatch.account.AccountDirectory;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.account.KeyPolicy;
import org.hornbeamward.dispatch.account.ShareAdmission;
import org.hornbeamward.dispatch.account.ShareMeter;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.config.SchedulingOptions;
import org.hornbeamward.dispatch.job.Cancellation;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.dispatch.lead.DispatchLimits;
import org.hornbeamward.dispatch.lead.Dispatcher;
import org.hornbeamward.dispatch.lead.FormerLeader;
import org.hornbeamward.dispatch.lead.JobKeys;
import org.hornbeamward.dispatch.lead.NodeMetrics;
import org.hornbeamward.dispatch.lead.StatusListener;
import org.hornbeamward.dispatch.port.ClockReading;
import org.hornbeamward.dispatch.port.Documents;
import org.hornbeamward.dispatch.port.Documents.OperatorDocument;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Store.AppendOutcome;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerControl;
import org.hornbeamward.dispatch.store.RecordHandler;
import org.hornbeamward.dispatch.store.TopicFollower;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.jspecify.annotations.Nullable;

/**
 * One entry process: it serves callers, follows the configuration and the leader, and leads when
 * elected. Runs on the loop.
 */
public final class EntryNode {
    /** Long-poll wait for operator records; bounds the age of the configuration. */
    private static final long OPERATOR_LONG_POLL_WAIT_MILLIS = 1_000;

    /** Time since the last heartbeat beyond which a job missing from the table may exist. */
    private static final long MAX_FEED_AGE_MILLIS = 1_500;

    /**
     * Age of the leader's view of the jobs topic beyond which a job missing from the table may
     * exist. An idle leader's view is up to 2 s old, since each read waits for a second.
     */
    private static final long MAX_JOBS_AGE_MILLIS = 2_500;

    /**
     * Age of this entry's view of the jobs beyond which a job missing from the table may exist: the
     * platform requires that a job is known 3 s after it was accepted, and a report may take 0.1 s
     * to arrive.
     */
    private static final long MAX_VIEW_AGE_MILLIS = 2_900;

    /**
     * Time without an answer of the store after which this entry is not ready, so that callers
     * connect to instances that reach it. Covers a long poll of 1 s and answers that take 60 times
     * as long as usual.
     */
    private static final long MAX_STORE_SILENCE_MILLIS = 3_000;

    /** How long a request for an unknown job waits for an update from the leader. */
    private static final long UNKNOWN_JOB_WAIT_MILLIS = 250;

    /**
     * Time after which a refused caller may try again: the shortest time in which the store or a
     * leader becomes available again.
     */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Delay between two attempts to hand over the lead. */
    private static final long HAND_OVER_RETRY_MILLIS = 200;

    /**
     * Age of the store's last confirmation up to which a leader that stops tries to resign. Without
     * an answer the outcome of the attempt stays unknown, and it can lead no longer.
     */
    private static final long MAX_UNCONFIRMED_AT_RESIGNATION_MILLIS = 1_500;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** Outcome of a submission. */
    public sealed interface SubmitOutcome {
        /** The job is stored. */
        record Accepted() implements SubmitOutcome {}

        /**
         * The job is not stored and will not run because of this request.
         *
         * @param reason why
         * @param retryAfterMillis time after which the caller may try again
         */
        record Refused(String reason, long retryAfterMillis) implements SubmitOutcome {}

        /**
         * The job is not stored: its client account sends more than its share while the workers are
         * full.
         *
         * @param reason why
         * @param retryAfterMillis time after which the caller may try again
         */
        record BeyondShare(String reason, long retryAfterMillis) implements SubmitOutcome {}

        /**
         * The job may be stored.
         *
         * @param reason why
         */
        record Unknown(String reason) implements SubmitOutcome {}
    }

    /** Outcome of a status query or a cancellation. */
    public sealed interface JobOutcome {
        /**
         * The job exists.
         *
         * @param phase its phase in the store
         */
        record Known(JobPhase phase) implements JobOutcome {}

        /** No such job exists. */
        record NoSuchJob() implements JobOutcome {}

        /**
         * It is not known at present whether the job exists, or the cancellation is not stored.
         *
         * @param reason why
         * @param retryAfterMillis time after which the caller may try again
         */
        record Unavailable(String reason, long retryAfterMillis) implements JobOutcome {}

        /**
         * The cancellation may be stored.
         *
         * @param reason why
         */
        record Unknown(String reason) implements JobOutcome {}
    }

    private final Loop mLoop;
    private final Store mStore;
    private final WorkerControl mControl;
    private final Documents mDocuments;
    private final DispatchLimits mLimits;
    private final NodeMetrics mMetrics = new NodeMetrics();
    private final LeaderFeed mFeed;
    private final FeedServer mFeedServer;
    private final StatusTable mStatus = new StatusTable();
    private final Map<String, OperatorDocument> mOperatorDocuments = new HashMap<>();
    private final Set<JobId> mLocallyAcceptedJobs = new HashSet<>();
    private final KeyPolicy mKeyPolicy;
    private final RandomGenerator mRandom;

    /** Counts the jobs of all entries by account, as the leader reports them. */
    private final ShareMeter mShares = new ShareMeter();

    private final JobsWriter mJobsWriter;
    private final TopicFollower mOperatorFollower;
    private final Election mElection;
    private final FeedBatch mUnsent = new FeedBatch();
    private final RemovedRoutes mRemovedRoutes;
    private SchedulingOptions mOptions = SchedulingOptions.DEFAULT;
    private @Nullable ClusterConfig mConfig;
    private @Nullable Dispatcher mDispatcher;
    private long mEpoch;
    private boolean mStatusComplete;
    private boolean mStopping;
    private @Nullable ClockReading mLastHeartbeat;
    private long mJobsAgeMillis = Long.MAX_VALUE;
    private long mBeyondShareWaitMillis;

    /**
     * Creates an entry that is not started.
     *
     * @param loop event loop that provides the clocks and timers
     * @param store the platform's store
     * @param control sends orders to workers
     * @param documents decodes the records of operators and workers
     * @param limits limits from the platform's settings
     * @param keyPolicy how old the known keys may be when a caller is identified by them
     * @param feed receives the feed of the leader
     * @param feedServer sends the feed to the other entries when this one leads
     * @param random source of the random candidacy delays
     * @param instance name of this instance
     * @param feedAddress host and port at which the other entries reach the feed server
     */
    public EntryNode(
            Loop loop,
            Store store,
            WorkerControl control,
            Documents documents,
            DispatchLimits limits,
            KeyPolicy keyPolicy,
            LeaderFeed feed,
            FeedServer feedServer,
            RandomGenerator random,
            String instance,
            String feedAddress) {
        mLoop = loop;
        mStore = store;
        mControl = control;
        mDocuments = documents;
        mLimits = limits;
        mKeyPolicy = keyPolicy;
        mRandom = random;
        mFeed = feed;
        mFeedServer = feedServer;
        mJobsWriter = new JobsWriter(loop, store);
        mRemovedRoutes = new RemovedRoutes(loop, mStatus, () -> mConfig, this::mayLackRoute);
        mOperatorFollower =
                new TopicFollower(
                        loop,
                        store,
                        Topic.OPERATOR,
                        OPERATOR_LONG_POLL_WAIT_MILLIS,
                        0,
                        new OperatorListener());
        mElection =
                new Election(
                        loop,
                        store,
                        random,
                        instance,
                        feedAddress,
                        limits.candidacyDelayMillis(),
                        new ElectionListener());
        mFeedServer.setInitialMessages(this::initialMessages);
        mMetrics.gauge(
                "hornbeamward_leading",
                "1 while this entry leads",
                () -> mDispatcher == null ? 0 : 1);
        mMetrics.gauge(
                "hornbeamward_config_version",
                "version of the configuration in force",
                () -> mConfig == null ? 0 : mConfig.version());
        mMetrics.gauge(
                "hornbeamward_status_fresh",
                "1 while an unknown job is known not to exist",
                () -> isStatusFresh() ? 1 : 0);
        mMetrics.gauge(
                "hornbeamward_config_age_seconds",
                "age of the known configuration and of the keys in it",
                () -> mOperatorFollower.ageMillis() / MILLIS_PER_SECOND);
    }

    /**
     * Sets what the deployment's own settings choose. Must be called before {@link #start}.
     *
     * @param options options of the scheduler
     */
    public void setOptions(SchedulingOptions options) {
        mOptions = options;
    }

    /** Starts following the topics and taking part in elections. */
    public void start() {
        new LoopMonitor(mLoop, mMetrics).start();
        mOperatorFollower.start();
        mElection.start();
        sendHeartbeats();
    }

    /**
     * Resigns as leader and stops taking part in elections; callers are still served. While the
     * store does not take the resignation no entry can be elected, so this one goes on leading and
     * renewing leases until then, or until the process ends.
     *
     * @return completed once this entry no longer leads
     */
    public CompletableFuture<Void> stop() {
        mStopping = true;
        CompletableFuture<Void> handedOver = new CompletableFuture<>();
        handOver(handedOver);
        return handedOver;
    }

    /**
     * Answers all submissions and cancellations that wait for the store, and from now on each new
     * one at once: with an unknown outcome if its record may be stored, else as not stored. To be
     * called when the process ends before the store has answered.
     */
    public void endAppends() {
        mJobsWriter.stop();
    }

    private void handOver(CompletableFuture<Void> handedOver) {
        Dispatcher dispatcher = mDispatcher;
        if (dispatcher == null) {
            mElection.stop();
            handedOver.complete(null);
        } else if (dispatcher.unconfirmedMillis() > MAX_UNCONFIRMED_AT_RESIGNATION_MILLIS) {
            mLoop.schedule(HAND_OVER_RETRY_MILLIS, () -> handOver(handedOver));
        } else {
            // Once the record exists, a successor assumes that nothing more is granted or ordered.
            dispatcher.suspend();
            mElection
                    .resign(mEpoch)
                    .thenAccept(outcome -> resigned(dispatcher, outcome, handedOver));
        }
    }

    private void resigned(
            Dispatcher dispatcher, AppendOutcome outcome, CompletableFuture<Void> handedOver) {
        if (outcome instanceof AppendOutcome.Refused) {
            LogEvent.LEADER_LEADS_ON.log(mEpoch, outcome);
            dispatcher.resume();
            mLoop.schedule(HAND_OVER_RETRY_MILLIS, () -> handOver(handedOver));
            return;
        }
        LogEvent.LEADER_DEPOSED.log(mEpoch, "resigned: " + outcome);
        dispatcher.close();
        if (mDispatcher == dispatcher) {
            mDispatcher = null;
        }
        mElection.stop();
        handedOver.complete(null);
    }

    /**
     * Returns the metrics.
     *
     * @return the metrics of this process
     */
    public NodeMetrics metrics() {
        return mMetrics;
    }

    /**
     * Describes the state in readable text. Must be called on the loop.
     *
     * @return lines of text
     */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        ClusterConfig config = mConfig;
        lines.add(
                "entry ready="
                        + isReady()
                        + " configVersion="
                        + (config == null ? "none" : config.version())
                        + " configAgeMillis="
                        + mOperatorFollower.ageMillis()
                        + " domainsOut="
                        + domainsOut()
                        + " knownJobs="
                        + mStatus.rows().size()
                        + " statusFresh="
                        + isStatusFresh());
        Dispatcher dispatcher = mDispatcher;
        if (dispatcher != null) {
            lines.addAll(dispatcher.describe());
        }
        return lines;
    }

    /**
     * Returns whether this entry is ready for requests of callers.
     *
     * @return true while a configuration is in force, the store answers this instance and the entry
     *     is not stopping
     */
    public boolean isReady() {
        return mConfig != null
                && !mStopping
                && mOperatorFollower.ageMillis() < MAX_STORE_SILENCE_MILLIS;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, if there is one
     */
    public Optional<ClusterConfig> config() {
        return Optional.ofNullable(mConfig);
    }

    /**
     * Returns the finder of jobs whose routes have been removed.
     *
     * @return the finder
     */
    public RemovedRoutes removedRoutes() {
        return mRemovedRoutes;
    }

    /**
     * Checks whether a caller may use a queue.
     *
     * @param queue the queue named in the request
     * @param credentials values of the request's authorization header
     * @return the caller's account, or why the request cannot be served
     */
    public Access authorize(QueueConfig queue, List<String> credentials) {
        return authorize(queue.openToAll(), credentials);
    }

    /**
     * Checks whether a caller may use a queue for a request about a job that exists already. On a
     * queue that is open to all a key still tells the caller's account if the job has one: the job
     * may have been accepted before the queue was opened.
     *
     * @param queue the queue named in the request
     * @param job the job named in the request
     * @param credentials values of the request's authorization header
     * @return the caller's account, or why the request cannot be served
     */
    public Access authorize(QueueConfig queue, JobId job, List<String> credentials) {
        StatusTable.Row row = mStatus.get(job);
        if (queue.openToAll()
                && row != null
                && !row.account().isEmpty()
                && !credentials.isEmpty()) {
            Access byKey = authorize(false, credentials);
            if (!(byKey instanceof Access.Unauthorized)) {
                return byKey;
            }
        }
        return authorize(queue, credentials);
    }

    private Access authorize(boolean openToAll, List<String> credentials) {
        ClusterConfig config = mConfig;
        Access access =
                AccessCheck.check(
                        config == null ? AccountDirectory.NONE : config.accounts(),
                        openToAll,
                        credentials,
                        mOperatorFollower.ageMillis(),
                        mKeyPolicy);
        mMetrics.recordAccess(access.getClass().getSimpleName());
        return access;
    }

    /**
     * Submits a job.
     *
     * @param queue queue to submit the job to
     * @param account client account of the caller; empty for none
     * @param job id chosen by the caller
     * @param spec what to run
     * @param deadlineMillis monotonic time at which the caller stops waiting
     * @return whether the job is stored
     */
    public CompletableFuture<SubmitOutcome> submit(
            QueueConfig queue, String account, JobId job, JobSpec spec, long deadlineMillis) {
        if (mStatus.get(job) != null || mLocallyAcceptedJobs.contains(job)) {
            return CompletableFuture.completedFuture(new SubmitOutcome.Accepted());
        }
        Optional<SubmitOutcome> refusal = refuseBeyondShare(queue, account, spec);
        // A refusal has to be true: another entry may have accepted the job in an earlier attempt.
        if (refusal.isPresent()
                && isStatusFresh()
                && !mJobsWriter.mayBeStored(JobKeys.submission(job))) {
            return CompletableFuture.completedFuture(refusal.get());
        }
        long arrivedMillis = mLoop.nowMillis();
        Submission submission =
                new Submission(job, queue.name(), account, mLoop.wallMillis(), spec, queue);
        KeyedRecord record = new KeyedRecord(JobKeys.submission(job), submission.encode());
        return mJobsWriter
                .store(record, deadlineMillis)
                .thenApply(
                        outcome -> {
                            mMetrics.recordSubmission(
                                    outcome.getClass().getSimpleName(),
                                    mLoop.nowMillis() - arrivedMillis);
                            return toSubmitOutcome(outcome, queue, job, arrivedMillis);
                        });
    }

    /** Refuses a job beyond its account's share that would end too late on full workers. */
    private Optional<SubmitOutcome> refuseBeyondShare(
            QueueConfig queue, String accountName, JobSpec spec) {
        ClusterConfig config = mConfig;
        ClientAccount account =
                config == null ? null : config.accounts().byName(accountName).orElse(null);
        if (account == null) {
            return Optional.empty();
        }
        long slackMillis =
                queue.objectiveMillis()
                        + (long) ((queue.slackFactor() - 1) * spec.criticalPathMillis());
        ShareAdmission.Decision decision =
                ShareAdmission.decide(
                        mShares.waitMillis(account, mLoop.wallMillis()),
                        mBeyondShareWaitMillis,
                        slackMillis,
                        mRandom.nextDouble());
        return switch (decision) {
            case ShareAdmission.Decision.Admitted admitted -> Optional.empty();
            case ShareAdmission.Decision.Deferred deferred ->
                    Optional.of(
                            new SubmitOutcome.BeyondShare(
                                    "client account "
                                            + accountName
                                            + " sends more than its share of "
                                            + account.jobsPerSecond()
                                            + " jobs a second, and such jobs have been waiting for "
                                            + mBeyondShareWaitMillis
                                            + " ms",
                                    deferred.retryAfterMillis()));
        };
    }

    private SubmitOutcome toSubmitOutcome(
            JobsWriter.Outcome outcome, QueueConfig queue, JobId job, long arrivedMillis) {
        return switch (outcome) {
            case JobsWriter.Outcome.Stored stored -> {
                mLocallyAcceptedJobs.add(job);
                LogEvent.JOB_ACCEPTED.log(job, queue.name(), mLoop.nowMillis() - arrivedMillis);
                yield new SubmitOutcome.Accepted();
            }
            case JobsWriter.Outcome.NotStored notStored ->
                    new SubmitOutcome.Refused(notStored.reason(), RETRY_AFTER_MILLIS);
            case JobsWriter.Outcome.Unknown unknown -> new SubmitOutcome.Unknown(unknown.reason());
        };
    }

    /**
     * Returns the phase of a job.
     *
     * @param queue the queue named in the request
     * @param account client account of the caller; empty for none
     * @param job id of the job
     * @return the phase, or why it is not known
     */
    public CompletableFuture<JobOutcome> phase(QueueConfig queue, String account, JobId job) {
        JobOutcome known = lookUp(queue, account, job);
        if (known instanceof JobOutcome.Known) {
            return CompletableFuture.completedFuture(known);
        }
        // The leader may not have reported yet a job that another entry has just accepted.
        CompletableFuture<JobOutcome> answer = new CompletableFuture<>();
        mLoop.schedule(UNKNOWN_JOB_WAIT_MILLIS, () -> answer.complete(lookUp(queue, account, job)));
        return answer;
    }

    /** Returns whether a job may exist whose accepted route the table lacks. */
    private boolean mayLackRoute(JobId job) {
        return mStatus.get(job) == null
                ? !isStatusFresh() || mLocallyAcceptedJobs.contains(job)
                : !mStatusComplete;
    }

    /**
     * Returns whether a job of the caller's account in another queue may have been accepted on the
     * route of the request. The routes arrive after all rows.
     */
    private boolean mayBeOfRoute(StatusTable.Row row, String account) {
        return !mStatusComplete && row.account().equals(account);
    }

    private JobOutcome lookUp(QueueConfig queue, String account, JobId job) {
        StatusTable.Row row = mStatus.get(job);
        if (row != null) {
            if (row.isVisibleTo(queue.name(), account)) {
                return new JobOutcome.Known(row.phase());
            }
            return mayBeOfRoute(row, account)
                    ? new JobOutcome.Unavailable(
                            "the leader has not reported all routes yet", RETRY_AFTER_MILLIS)
                    : new JobOutcome.NoSuchJob();
        }
        if (mLocallyAcceptedJobs.contains(job)) {
            return new JobOutcome.Known(JobPhase.QUEUED);
        }
        if (!isStatusFresh()) {
            return new JobOutcome.Unavailable(
                    "the leader has not been heard of for " + heartbeatAgeMillis() + " ms",
                    RETRY_AFTER_MILLIS);
        }
        return new JobOutcome.NoSuchJob();
    }

    /**
     * Cancels a job. The cancellation of a job that this entry does not know is stored too: another
     * entry may have accepted it a moment ago, and the leader applies the cancellation whichever
     * record it reads first.
     *
     * @param queue the queue named in the request
     * @param account client account of the caller; empty for none
     * @param job id of the job to cancel
     * @param deadlineMillis monotonic time at which the caller stops waiting
     * @return its phase after the call, or why it cannot be cancelled
     */
    public CompletableFuture<JobOutcome> cancel(
            QueueConfig queue, String account, JobId job, long deadlineMillis) {
        StatusTable.Row row = mStatus.get(job);
        boolean settled =
                row != null
                        && (row.isVisibleTo(queue.name(), account)
                                ? row.phase().terminal()
                                : !mayBeOfRoute(row, account));
        if (row == null || !settled) {
            return storeCancellation(queue, account, job, deadlineMillis);
        }
        LogEvent.CANCELLATION_NOT_STORED.log(
                job,
                queue.name(),
                account,
                row.phase(),
                row.queue(),
                row.account(),
                mDispatcher == null ? heartbeatAgeMillis() : 0);
        return CompletableFuture.completedFuture(lookUp(queue, account, job));
    }

    private CompletableFuture<JobOutcome> storeCancellation(
            QueueConfig queue, String account, JobId job, long deadlineMillis) {
        KeyedRecord record =
                new KeyedRecord(
                        JobKeys.cancellation(job),
                        new Cancellation(queue.name(), account, queue.host(), queue.pathPrefix())
                                .encode());
        long arrivedMillis = mLoop.nowMillis();
        return mJobsWriter
                .store(record, deadlineMillis)
                .thenApply(
                        outcome ->
                                switch (outcome) {
                                    case JobsWriter.Outcome.Stored stored -> {
                                        LogEvent.CANCELLATION_STORED.log(
                                                job,
                                                queue.name(),
                                                mLoop.nowMillis() - arrivedMillis);
                                        yield new JobOutcome.Known(JobPhase.CANCELLED);
                                    }
                                    case JobsWriter.Outcome.NotStored notStored ->
                                            new JobOutcome.Unavailable(
                                                    notStored.reason(), RETRY_AFTER_MILLIS);
                                    case JobsWriter.Outcome.Unknown unknown ->
                                            new JobOutcome.Unknown(unknown.reason());
                                });
    }

    /**
     * Returns the number of jobs of a queue that have not started.
     *
     * @param queue queue whose jobs are counted
     * @return the number, or empty while the job table is out of date
     */
    public Optional<Integer> pendingCount(QueueConfig queue) {
        return isStatusFresh() ? Optional.of(mStatus.pendingCount(queue.name())) : Optional.empty();
    }

    private boolean isStatusFresh() {
        Dispatcher dispatcher = mDispatcher;
        if (dispatcher != null) {
            return dispatcher.isReady() && dispatcher.jobsAgeMillis() < MAX_JOBS_AGE_MILLIS;
        }
        long feedAgeMillis = heartbeatAgeMillis();
        return mStatusComplete
                && feedAgeMillis < MAX_FEED_AGE_MILLIS
                && mJobsAgeMillis < MAX_JOBS_AGE_MILLIS
                && mJobsAgeMillis + feedAgeMillis < MAX_VIEW_AGE_MILLIS;
    }

    private long heartbeatAgeMillis() {
        ClockReading lastHeartbeat = mLastHeartbeat;
        return lastHeartbeat == null ? Long.MAX_VALUE : lastHeartbeat.ageMillis(mLoop);
    }

    private List<FeedMessage> initialMessages() {
        List<FeedMessage> messages = new ArrayList<>();
        Dispatcher dispatcher = mDispatcher;
        if (dispatcher == null || !dispatcher.isReady()) {
            return messages;
        }
        messages.addAll(FeedBatch.ofTable(mStatus));
        messages.add(createHeartbeat(dispatcher));
        return messages;
    }

    private FeedMessage.Heartbeat createHeartbeat(Dispatcher dispatcher) {
        return new FeedMessage.Heartbeat(
                mEpoch,
                dispatcher.isReady(),
                dispatcher.unconfirmedMillis(),
                dispatcher.jobsAgeMillis(),
                dispatcher.progressOffset(),
                dispatcher.beyondShareWaitMillis());
    }

    private void sendHeartbeats() {
        mLoop.schedule(Election.HEARTBEAT_MILLIS, this::sendHeartbeats);
        Dispatcher dispatcher = mDispatcher;
        if (dispatcher != null) {
            // The heartbeat tells the age of the jobs that were sent before it.
            flushRows();
            mBeyondShareWaitMillis = dispatcher.beyondShareWaitMillis();
            mFeedServer.broadcast(createHeartbeat(dispatcher));
        }
    }

    /**
     * Records a phase that the leader has reported.
     *
     * @param complete whether the table has been complete, so that an unknown job is a new one
     */
    private void recordPhase(StatusTable.Row row, boolean complete) {
        ClusterConfig config = mConfig;
        if (complete && config != null && mStatus.get(row.job()) == null) {
            config.accounts()
                    .byName(row.account())
                    .ifPresent(account -> mShares.arrived(account, mLoop.wallMillis()));
        }
        mStatus.put(row);
        mLocallyAcceptedJobs.remove(row.job());
        mJobsWriter.confirmStored(JobKeys.submission(row.job()));
    }

    private void flushRows() {
        if (!mUnsent.isEmpty()) {
            mUnsent.takeMessages().forEach(mFeedServer::broadcast);
        }
    }

    private final class ElectionListener implements Election.Listener {
        @Override
        public void elected(long epoch, FormerLeader former) {
            mFeed.unfollow();
            mEpoch = epoch;
            mStatusComplete = false;
            Dispatcher dispatcher =
                    new Dispatcher(
                            mLoop,
                            mStore,
                            mControl,
                            mDocuments,
                            new LeaderStatusListener(),
                            mLimits,
                            mMetrics,
                            epoch,
                            former,
                            reason -> deposed(epoch, reason));
            mDispatcher = dispatcher;
            dispatcher.setOptions(mOptions);
            ClusterConfig config = mConfig;
            if (config != null) {
                dispatcher.configure(config);
            }
            dispatcher.takeOut(domainsOut());
            dispatcher.start();
        }

        private void deposed(long epoch, String reason) {
            LogEvent.LEADER_DEPOSED.log(epoch, reason);
            mDispatcher = null;
            mElection.deposed(epoch);
            mFeedServer.disconnectAll();
        }

        @Override
        public void following(LeaderRecord leader) {
            Dispatcher dispatcher = mDispatcher;
            if (dispatcher != null) {
                dispatcher.close();
                deposed(mEpoch, "entry " + leader.instance() + " has taken over");
            }
            mJobsAgeMillis = Long.MAX_VALUE;
            if (leader.resigned()) {
                mFeed.unfollow();
            } else {
                mFeed.follow(leader.feedAddress(), new FeedReceiver(leader));
            }
        }
    }

    /** Updates this entry's job table while it leads and sends the changes to the other entries. */
    private final class LeaderStatusListener implements StatusListener {
        private boolean mFirstReport = true;

        @Override
        public void phaseChanged(Submission submission, JobPhase phase) {
            if (mFirstReport) {
                mFirstReport = false;
                mStatus.clear();
            }
            StatusTable.Row row =
                    new StatusTable.Row(
                            submission.job(), submission.queue(), submission.account(), phase);
            QueueConfig newJobsQueue =
                    mStatus.get(submission.job()) == null ? submission.acceptedQueue() : null;
            recordPhase(row, mStatusComplete);
            if (newJobsQueue != null) {
                mStatus.putAcceptedQueue(newJobsQueue);
            }
            if (mStatusComplete) {
                if (mUnsent.isEmpty()) {
                    mLoop.schedule(0, EntryNode.this::flushRows);
                }
                mUnsent.add(row, newJobsQueue);
            }
        }

        @Override
        public void jobRemoved(JobId job) {
            mStatus.remove(job);
            mFeedServer.broadcast(new FeedMessage.JobsRemoved(List.of(job)));
        }

        @Override
        public void allPhasesReported() {
            if (mFirstReport) {
                mFirstReport = false;
                mStatus.clear();
            }
            mStatusComplete = true;
            // Peers that connected before the table was loaded receive all of it now.
            initialMessages().forEach(mFeedServer::broadcast);
        }
    }

    /** Updates the job table from the leader's feed. */
    private final class FeedReceiver implements LeaderFeed.Receiver {
        private final LeaderRecord mLeader;
        private boolean mRestoredLogged;

        FeedReceiver(LeaderRecord leader) {
            mLeader = leader;
        }

        @Override
        public void received(FeedMessage message) {
            if (!mRestoredLogged) {
                mRestoredLogged = true;
                LogEvent.FEED_RESTORED.log(mLeader.instance());
            }
            switch (message) {
                case FeedMessage.Heartbeat heartbeat -> {
                    if (heartbeat.epoch() == mLeader.epoch()) {
                        mElection.heartbeatReceived(heartbeat);
                        mLastHeartbeat = ClockReading.now(mLoop);
                        mJobsAgeMillis =
                                heartbeat.ready() ? heartbeat.jobsAgeMillis() : Long.MAX_VALUE;
                        mBeyondShareWaitMillis = heartbeat.beyondShareWaitMillis();
                    }
                }
                case FeedMessage.Phases phases -> applyPhases(phases);
                case FeedMessage.JobsRemoved removed -> removed.jobs().forEach(mStatus::remove);
            }
        }

        private void applyPhases(FeedMessage.Phases phases) {
            if (phases.first()) {
                mStatus.clear();
                mStatusComplete = false;
            }
            boolean complete = mStatusComplete;
            if (phases.last()) {
                mStatusComplete = true;
            }
            for (StatusTable.Row row : phases.rows()) {
                recordPhase(row, complete);
            }
            phases.queues().forEach(mStatus::putAcceptedQueue);
        }

        @Override
        public void disconnected() {
            mRestoredLogged = false;
            mElection.feedDisconnected();
        }
    }

    private Set<FailureDomainId> domainsOut() {
        Set<FailureDomainId> domains = new HashSet<>();
        for (OperatorDocument document : mOperatorDocuments.values()) {
            if (document instanceof OperatorDocument.DomainOut out) {
                domains.add(out.domain());
            }
        }
        return domains;
    }

    private final class OperatorListener implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            mOperatorDocuments.keySet().retainAll(newest.keySet());
            RecordHandler.handleAll(newest, this::apply);
            updateDomainsOut();
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            RecordHandler.handleAll(records, this::apply);
            updateDomainsOut();
        }

        private void apply(String key, byte @Nullable [] value) {
            if (value == null) {
                mOperatorDocuments.remove(key);
                LogEvent.OPERATOR_RECORD.log(key, "removed");
                return;
            }
            mDocuments
                    .decodeOperatorRecord(key, value)
                    .peek(document -> mOperatorDocuments.put(key, document))
                    .peekLeft(reason -> LogEvent.RECORD_SKIPPED.log(key + ": " + reason));
            if (mOperatorDocuments.get(key) instanceof OperatorDocument.Config document) {
                configure(document.config());
            }
        }

        private void configure(ClusterConfig config) {
            ClusterConfig known = mConfig;
            if (known != null && config.version() <= known.version()) {
                return;
            }
            mConfig = config;
            LogEvent.CONFIG_IN_FORCE.log(config.version());
            Dispatcher dispatcher = mDispatcher;
            if (dispatcher != null) {
                dispatcher.configure(config);
            }
        }

        private void updateDomainsOut() {
            Dispatcher dispatcher = mDispatcher;
            if (dispatcher != null) {
                dispatcher.takeOut(domainsOut());
            }
        }
    }
}
