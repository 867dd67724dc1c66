package org.hornbeamward.dispatch.lead;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.PoolConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.fake.FakeStore;
import org.hornbeamward.dispatch.fake.FaultyStore;
import org.hornbeamward.dispatch.fake.FaultyWorkers;
import org.hornbeamward.dispatch.fake.PausableLoop;
import org.hornbeamward.dispatch.fake.SimulatedWorker;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.dispatch.job.TaskName;
import org.hornbeamward.dispatch.port.Documents;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Leaders, workers and a store on a virtual clock that run through a schedule of jobs and faults.
 */
final class RandomFaults implements Documents {
    /** An event of a schedule. */
    enum Kind {
        SUBMIT,
        SUBMIT_CHAIN,
        SUBMIT_LONG_RUNNING,
        /** Long-running tasks whose number and size follow from the target. */
        SUBMIT_LASTING,
        /** Short jobs for the duration that keep as many cores busy as the target says. */
        SHORT_JOBS,
        CANCEL,
        /** The worker restarts at once; its entry is written after the duration. */
        RESTART,
        /**
         * All workers, or every second one for odd targets, restart at one moment; their entries
         * are written within the duration.
         */
        RESTART_ALL,
        /**
         * The same, while calls to these workers are held for the duration; their entries are
         * written within {@link #ENTRY_DELAY_MILLIS}.
         */
        REBORN_ALL,
        /** The worker is down for the duration. */
        DOWN,
        CUT,
        /** The worker is cut off for the duration, also from the store. */
        ISOLATED,
        /** Calls and answers are held for the duration and arrive afterwards. */
        HELD,
        /** The same for the process of one leader; see {@link #linkTarget}. */
        HELD_FROM_LEADER,
        /** The worker is cut off from the process of one leader; see {@link #linkTarget}. */
        CUT_FROM_LEADER,
        ANSWERS_LOST,
        LATE_CALLS,
        JITTER,
        REFUSED,
        UNHEALTHY,
        /** The worker is down, and another one answers at its address. */
        OTHER_WORKER,
        LEASE_DROPPED,
        ENTRY_REMOVED,
        /** The worker ends for good and its connections are refused; the entry follows later. */
        GONE,
        /** The worker ends for good and its connections get no answer; the entry follows later. */
        GONE_SILENTLY,
        /** The worker is down and up by turns for the duration, under its id. */
        FLAP,
        /** The worker is down and up by turns for the duration, each time as a new worker. */
        FLAP_AS_NEW,
        STARTS_REFUSED,
        STARTS_HANG,
        ORDERS_HANG,
        /** Polls and orders get no answer and are not carried out. */
        HANG,
        /** A share of all calls, which follows from the target, gets no answer. */
        MUTE,
        /** A share of all calls, which follows from the target, is answered with status 503. */
        SHED,
        /** The connections of a share of all calls, which follows from the target, are reset. */
        RESET,
        /** Answers to polls are a little older than others. */
        OLD_LISTS,
        STORE_SLOW,
        STORE_UNANSWERED,
        STORE_LATE,
        STORE_REFUSED,
        STORE_DOWN,
        /** The store takes 0.1 s times the target for the newest records, for the duration. */
        STORE_LOADS_SLOWLY,
        /** The leader is killed; a successor starts after the duration. */
        LEADER_KILLED,
        /** The leader resigns; a successor starts after the duration. */
        LEADER_RESIGNED,
        /**
         * The leader resigns and its process goes on; after the duration, the process that the
         * target names leads, which may have led before.
         */
        HAND_OVER,
        /** The leader is paused for the duration. */
        LEADER_PAUSED,
        /** The leader is paused for the duration; a successor starts meanwhile. */
        LEADER_PAUSED_AND_REPLACED,
        /** The leader is cut off from the store for the duration; a successor starts meanwhile. */
        LEADER_CUT_AND_REPLACED
    }

    /**
     * An event of a schedule.
     *
     * @param atMillis time of the event since the beginning
     * @param kind its kind
     * @param target number of the worker or job
     * @param millis its duration
     */
    record Event(long atMillis, Kind kind, int target, long millis) {
        @Override
        public String toString() {
            return "new Event(" + atMillis + ", Kind." + kind + ", " + target + ", " + millis + ")";
        }
    }

    /**
     * Cases that the platform's documentation leaves open.
     *
     * @param hidesStoppingRuns a run that is being stopped is listed neither as running nor ended
     * @param laterIncarnationsTakeOrders a delayed order may reach a later incarnation
     * @param unregisteredAnswersOther a restarted worker answers as another one until its entry is
     *     written
     * @param remembersAcknowledgements an acknowledgement also covers ends of later runs whose
     *     numbers it reaches
     * @param timedOutCallsKeepConnections a call that has timed out keeps its connection
     * @param losesFirstStops the first stop of a run is answered and has no effect
     * @param resetsConnections calls that are held are lost if their caller gives them up
     * @param proxyHoldsCalls calls that are held need no open connection
     * @param longestLeaseMillis longest lease that workers grant
     */
    record Variant(
            boolean hidesStoppingRuns,
            boolean laterIncarnationsTakeOrders,
            boolean unregisteredAnswersOther,
            boolean remembersAcknowledgements,
            boolean timedOutCallsKeepConnections,
            boolean losesFirstStops,
            boolean resetsConnections,
            boolean proxyHoldsCalls,
            long longestLeaseMillis) {
        static final Variant NONE = new Variant(false, false, false, false);

        /** Creates a variant without a proxy in which connections are closed without a reset. */
        Variant(
                boolean hidesStoppingRuns,
                boolean laterIncarnationsTakeOrders,
                boolean unregisteredAnswersOther,
                boolean remembersAcknowledgements,
                boolean timedOutCallsKeepConnections,
                boolean losesFirstStops) {
            this(
                    hidesStoppingRuns,
                    laterIncarnationsTakeOrders,
                    unregisteredAnswersOther,
                    remembersAcknowledgements,
                    timedOutCallsKeepConnections,
                    losesFirstStops,
                    false,
                    false,
                    LONGEST_LEASE_MILLIS);
        }

        /** Creates a variant in which no connection is kept and no stop is lost. */
        Variant(
                boolean hidesStoppingRuns,
                boolean laterIncarnationsTakeOrders,
                boolean unregisteredAnswersOther,
                boolean remembersAcknowledgements) {
            this(
                    hidesStoppingRuns,
                    laterIncarnationsTakeOrders,
                    unregisteredAnswersOther,
                    remembersAcknowledgements,
                    false,
                    false);
        }

        /** Returns the variant with another longest lease. */
        Variant withLongestLease(long millis) {
            return new Variant(
                    hidesStoppingRuns,
                    laterIncarnationsTakeOrders,
                    unregisteredAnswersOther,
                    remembersAcknowledgements,
                    timedOutCallsKeepConnections,
                    losesFirstStops,
                    resetsConnections,
                    proxyHoldsCalls,
                    millis);
        }

        /** Returns the variant with other fates of the calls that are held. */
        Variant withHeldCalls(boolean resets, boolean proxy) {
            return new Variant(
                    hidesStoppingRuns,
                    laterIncarnationsTakeOrders,
                    unregisteredAnswersOther,
                    remembersAcknowledgements,
                    timedOutCallsKeepConnections,
                    losesFirstStops,
                    resets,
                    proxy,
                    longestLeaseMillis);
        }
    }

    static final int WORKER_COUNT = 4;

    /** Number of the processes that {@link Kind#HAND_OVER} names. */
    static final int PROCESS_COUNT = 3;

    /** Longest lease that is longer than those that leaders grant, as on the site confirma-ro. */
    static final long LONGER_LEASE_MILLIS = 10_000;

    /** Time within which the entries of workers that restart at one moment are written. */
    static final int ENTRY_DELAY_MILLIS = 3_000;

    /** Time that a worker's process takes at least until it takes calls again. */
    private static final int MIN_RESTART_MILLIS = 110;

    private static final int MAX_RESTART_MILLIS = 1_500;

    /** Time within which workers that restart at one moment begin. */
    private static final int SAME_MOMENT_MILLIS = 100;

    /** Largest number of connections to a worker, more than the calls of two leaders need. */
    private static final int MAX_CONNECTION_COUNT = 16;

    private static final int MIN_LOSS_WORKER_COUNT = 6;
    private static final long ENTRY_LIFE_MILLIS = 4_500;
    private static final long FLAP_PERIOD_MILLIS = 1_400;

    /** Time in which a running worker writes an entry. */
    private static final long ENTRY_INTERVAL_MILLIS = 1_500;

    /** Time that an election takes, which is no part of the disruption that causes it. */
    private static final long ELECTION_MILLIS = 1_500;

    /** Longest time after its fault at which a late call is carried out. */
    private static final long LATEST_CALL_MILLIS = 12_000;

    private static final long LONGEST_LEASE_MILLIS = 6_000;
    private static final long RUN_AGAIN_MILLIS = 6_000;
    private static final long END_MILLIS = 45_000;

    /** Further time for the jobs that are left when workers were lost for good, in steps. */
    private static final long FURTHER_MILLIS = 10_000;

    private static final int MAX_FURTHER_COUNT = 10;

    /** A process, which may lead several times, and its connections. */
    private final class EntryProcess {
        private final PausableLoop mProcessLoop = new PausableLoop(mLoop);
        private final FaultyStore mConnection =
                new FaultyStore(mLoop, mProcessLoop, mStore, mRandom);
        private final FaultyWorkers mControl = new FaultyWorkers(mLoop, mProcessLoop, mWorkers);

        EntryProcess() {
            mControl.laterIncarnationsTakeOrders = mVariant.laterIncarnationsTakeOrders();
            mControl.timedOutCallsKeepConnections = mVariant.timedOutCallsKeepConnections();
            mControl.resetsConnections = mVariant.resetsConnections();
            mControl.proxyHoldsCalls = mVariant.proxyHoldsCalls();
        }
    }

    private final class Leader implements StatusListener {
        private final EntryProcess mProcess;
        private final PausableLoop mProcessLoop;
        private final FaultyStore mConnection;
        private final FaultyWorkers mControl;
        private final Dispatcher mDispatcher;
        private final Map<JobId, JobPhase> mPhases = new HashMap<>();
        private long mFirstRecordMillis = -1;
        private boolean mGone;

        Leader(EntryProcess process, long epoch, FormerLeader former) {
            mProcess = process;
            mProcessLoop = process.mProcessLoop;
            mConnection = process.mConnection;
            mControl = process.mControl;
            mDispatcher = newDispatcher(mControl, epoch, former);
            mDispatcher.configure(
                    ClusterConfig.of(
                            1,
                            List.of(
                                    new QueueConfig(
                                            "queue",
                                            "host",
                                            "/q/",
                                            "pool",
                                            0,
                                            RunHistory.ATTEMPT_LIMIT,
                                            2.0,
                                            250,
                                            false,
                                            false,
                                            0)),
                            List.of(new PoolConfig("pool", true, false)),
                            1_000));
            mDispatcher.start();
        }

        private Dispatcher newDispatcher(FaultyWorkers control, long epoch, FormerLeader former) {
            return new Dispatcher(
                    mProcessLoop,
                    mConnection,
                    control,
                    RandomFaults.this,
                    this,
                    new DispatchLimits(mVariant.longestLeaseMillis(), 200, 600_000, 1.0, 1_000),
                    new NodeMetrics(),
                    epoch,
                    former,
                    reason -> {
                        mGone = true;
                        mControl.closeConnections();
                    });
        }

        void close() {
            mDispatcher.close();
            mControl.closeConnections();
        }

        @Override
        public void phaseChanged(Submission submission, JobPhase phase) {
            mPhases.put(submission.job(), phase);
        }

        @Override
        public void jobRemoved(JobId job) {}

        @Override
        public void allPhasesReported() {}
    }

    private final VirtualLoop mLoop = new VirtualLoop();
    private final FakeStore mStore = new FakeStore(mLoop);
    private final long mUsualLoadMillis = mStore.newestMillis;
    private final Random mRandom;
    private final long mSeed;
    private final int mWorkerCount;
    private final Variant mVariant;
    private final Map<String, SimulatedWorker> mWorkers = new LinkedHashMap<>();
    private final Set<String> mGoneForGood = new HashSet<>();

    /** Monotonic time until which a worker does not reach the store. */
    private final Map<String, Long> mIsolatedUntilMillis = new HashMap<>();

    /** The incarnation of each worker whose entry was written last. */
    private final Map<String, Integer> mRegistered = new HashMap<>();

    private final List<WorkerEntry> mEntries = new ArrayList<>();
    private final List<JobId> mJobs = new ArrayList<>();
    private final RunHistory mHistory;
    private final long mStartMillis;
    private final @Nullable EntryProcess[] mProcesses = new EntryProcess[PROCESS_COUNT];
    private @Nullable Leader mLeader;
    private long mEpoch;
    private boolean mCalm;

    private RandomFaults(long seed, Variant variant, int workerCount) {
        mRandom = new Random(seed);
        mSeed = seed;
        mWorkerCount = workerCount;
        mVariant = variant;
        mHistory =
                new RunHistory(
                        mLoop, () -> mWorkers.values().forEach(SimulatedWorker::expireLeases));
        for (int number = 0; number < workerCount; number++) {
            register(addWorker("w" + number, number));
        }
        mStartMillis = mLoop.nowMillis();
    }

    private SimulatedWorker addWorker(String name, int number) {
        SimulatedWorker worker =
                new SimulatedWorker(
                        mLoop,
                        name,
                        mVariant.longestLeaseMillis(),
                        number % 2 == 0 ? 98 : 100,
                        // Its own, so that the order of calls to several workers is irrelevant.
                        new Random(mSeed * mWorkerCount + number),
                        mHistory,
                        new SimulatedWorker.Workload() {
                            @Override
                            public long durationMillis(TaskName task, Random random) {
                                return duration(task, random);
                            }

                            @Override
                            public Resources size(TaskName task) {
                                return mHistory.step(task).size();
                            }
                        });
        worker.hidesStoppingRuns = mVariant.hidesStoppingRuns();
        worker.remembersAcknowledgements = mVariant.remembersAcknowledgements();
        worker.losesFirstStops = mVariant.losesFirstStops();
        worker.maxConnectionCount = MAX_CONNECTION_COUNT;
        mWorkers.put(name, worker);
        return worker;
    }

    private long duration(TaskName task, Random random) {
        boolean fails = !mCalm && random.nextInt(8) == 0;
        if (mHistory.step(task).longRunning()) {
            return fails ? -1 - random.nextInt(4_000) : 1_000_000;
        }
        long millis = 100 + random.nextInt(4_000);
        return fails ? -millis : millis;
    }

    /**
     * Runs through a schedule.
     *
     * @param seed seed of all delays
     * @param schedule the events
     * @param variant cases that the documentation leaves open
     * @return the rules that were broken
     */
    static List<RunHistory.Violation> run(long seed, List<Event> schedule, Variant variant) {
        return new RandomFaults(seed, variant, WORKER_COUNT).run(schedule, true);
    }

    /**
     * Runs through a schedule of {@link #lossSchedule}.
     *
     * @param seed seed of all delays
     * @param schedule the events
     * @return the rules that were broken
     */
    static List<RunHistory.Violation> runLoss(long seed, List<Event> schedule) {
        return runLoss(seed, schedule, Variant.NONE);
    }

    private static List<RunHistory.Violation> runLoss(
            long seed, List<Event> schedule, Variant variant) {
        // The workers that are left may lack the room for all tasks that last, so that only
        // TASK_AWAY tells whether one of them has to run.
        return new RandomFaults(seed, variant, lossWorkerCount(seed)).run(schedule, false);
    }

    /**
     * Runs through a schedule of {@link IncidentFaults}.
     *
     * @param seed seed of all delays
     * @param schedule the events
     * @param variant cases that the documentation leaves open
     * @return the rules that were broken
     */
    static List<RunHistory.Violation> runIncident(
            long seed, List<Event> schedule, Variant variant) {
        int workerCount = IncidentFaults.workerCount(seed);
        return new RandomFaults(seed, variant, workerCount).run(schedule, false);
    }

    private List<RunHistory.Violation> run(List<Event> schedule, boolean roomForAll) {
        if (!roomForAll) {
            rewriteEntries();
        }
        startLeader(process(0), new FormerLeader.Unknown());
        long endMillis = 2_000;
        for (Event event : schedule) {
            mLoop.schedule(event.atMillis(), () -> apply(event));
            endMillis = Math.max(endMillis, event.atMillis() + event.millis());
        }
        advance(endMillis + 1);
        mCalm = true;
        long calmMillis = mLoop.nowMillis();
        if (mLeader == null || mLeader.mGone) {
            startLeader(new FormerLeader.Unknown());
        }
        advance(RUN_AGAIN_MILLIS);
        if (roomForAll) {
            mHistory.checkLongRunning(calmMillis + RUN_AGAIN_MILLIS - 1);
        }
        advance(END_MILLIS);
        Leader leader = mLeader;
        if (leader != null) {
            Predicate<Resources> room = size -> roomForAll || isRoomTwice(size);
            // Short jobs may have been waiting for too few workers until now.
            for (int count = 0; !roomForAll && count < MAX_FURTHER_COUNT; count++) {
                if (mHistory.allEnded(leader.mPhases, room)) {
                    break;
                }
                advance(FURTHER_MILLIS);
            }
            mHistory.checkEnd(leader.mPhases, room);
        }
        return mHistory.mViolations;
    }

    private void advance(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += 50) {
            mLoop.advance(Math.min(50, millis - passedMillis));
            mWorkers.values().forEach(SimulatedWorker::expireLeases);
            mHistory.checkAway(this::isRoomTwice);
            mHistory.checkCancelled();
            Leader leader = mLeader;
            if (leader != null && leader.mFirstRecordMillis < 0) {
                leader.mFirstRecordMillis =
                        leader.mDispatcher.progressOffset() >= 0 ? mLoop.nowMillis() : -1;
            }
        }
    }

    /** Returns whether the workers that are up have room for two tasks of a size. */
    private boolean isRoomTwice(Resources size) {
        int count = 0;
        for (SimulatedWorker worker : mWorkers.values()) {
            if (worker.isUp()) {
                Resources free = worker.free();
                count += size.times(2).fitsIn(free) ? 2 : size.fitsIn(free) ? 1 : 0;
            }
        }
        return count >= 2;
    }

    /** Returns how long an event disrupts a worker, a link, the store or a leader. */
    private static long disruptionMillis(Event event) {
        long millis = event.millis();
        return switch (event.kind()) {
            case SUBMIT, SUBMIT_CHAIN, SUBMIT_LONG_RUNNING, SUBMIT_LASTING, SHORT_JOBS, CANCEL ->
                    -1;
            // Answers on different connections may overtake each other at any time.
            case OLD_LISTS -> -1;
            case LEASE_DROPPED, GONE, GONE_SILENTLY -> 0;
            // A worker that is up counts as about to be registered.
            case RESTART -> Math.max(0, millis - ENTRY_INTERVAL_MILLIS);
            case RESTART_ALL -> millis + MAX_RESTART_MILLIS;
            case REBORN_ALL ->
                    Math.max(millis, ENTRY_DELAY_MILLIS + MAX_RESTART_MILLIS)
                            + RunHistory.LINGER_MILLIS;
            case DOWN,
                    OTHER_WORKER,
                    UNHEALTHY,
                    ENTRY_REMOVED,
                    FLAP,
                    FLAP_AS_NEW,
                    STARTS_REFUSED,
                    STARTS_HANG,
                    ORDERS_HANG,
                    HANG,
                    MUTE,
                    SHED ->
                    millis;
            case CUT,
                    ISOLATED,
                    HELD,
                    HELD_FROM_LEADER,
                    CUT_FROM_LEADER,
                    ANSWERS_LOST,
                    JITTER,
                    REFUSED,
                    RESET ->
                    millis + RunHistory.LINGER_MILLIS;
            case LATE_CALLS -> millis + LATEST_CALL_MILLIS + RunHistory.LINGER_MILLIS;
            case STORE_SLOW,
                    STORE_UNANSWERED,
                    STORE_LATE,
                    STORE_REFUSED,
                    STORE_DOWN,
                    STORE_LOADS_SLOWLY,
                    LEADER_PAUSED,
                    LEADER_PAUSED_AND_REPLACED,
                    LEADER_CUT_AND_REPLACED ->
                    millis + RunHistory.LINGER_MILLIS;
            case LEADER_KILLED, LEADER_RESIGNED, HAND_OVER ->
                    Math.max(0, millis - ELECTION_MILLIS) + RunHistory.LINGER_MILLIS;
        };
    }

    private void apply(Event event) {
        SimulatedWorker worker =
                Objects.requireNonNull(mWorkers.get("w" + event.target() % mWorkerCount));
        long untilMillis = mLoop.nowMillis() + event.millis();
        long disruptionMillis = disruptionMillis(event);
        if (disruptionMillis >= 0) {
            mHistory.disrupted(disruptionMillis);
        }
        switch (event.kind()) {
            case SUBMIT -> submit(LeaderFixture.step(1 + event.target() % 4, 1_000));
            case SUBMIT_CHAIN ->
                    submit(
                            LeaderFixture.step(1 + event.target() % 3, 500),
                            LeaderFixture.step(1 + event.target() % 2, 1_000, 0));
            case SUBMIT_LONG_RUNNING ->
                    submit(LeaderFixture.longRunning(1 + event.target() % 2, 1_000));
            case SUBMIT_LASTING ->
                    submit(
                            LeaderFixture.longRunning(
                                    lastingCount(event.target()), lastingSize(event.target())));
            case SHORT_JOBS -> {
                // Its own, so that the jobs are the same in a schedule with fewer events.
                Random random = new Random(mSeed * 13 + event.atMillis());
                submitShortJobs(random, event.target(), untilMillis);
            }
            case CANCEL -> cancel(event.target());
            case RESTART -> {
                if (worker.isUp()) {
                    worker.crash();
                    // No order of acknowledgements excludes a process that starts in no time.
                    mLoop.schedule(
                            mVariant.remembersAcknowledgements() ? 110 : 0,
                            () -> startAgain(worker, event.millis()));
                }
            }
            case DOWN -> takeDown(worker, event.millis());
            case CUT, HANG -> worker.addFault(SimulatedWorker.Fault.CUT, untilMillis);
            case ANSWERS_LOST -> worker.addFault(SimulatedWorker.Fault.ANSWERS_LOST, untilMillis);
            case LATE_CALLS -> worker.addFault(SimulatedWorker.Fault.LATE_CALLS, untilMillis);
            case JITTER -> worker.addFault(SimulatedWorker.Fault.JITTER, untilMillis);
            case REFUSED -> worker.addFault(SimulatedWorker.Fault.REFUSED, untilMillis);
            case UNHEALTHY -> worker.addFault(SimulatedWorker.Fault.UNHEALTHY, untilMillis);
            case OTHER_WORKER -> {
                worker.addFault(SimulatedWorker.Fault.OTHER_WORKER, untilMillis);
                takeDown(worker, event.millis());
            }
            case LEASE_DROPPED -> worker.dropLease();
            case ENTRY_REMOVED -> {
                mStore.records(Topic.WORKERS).add(new KeyedRecord(worker.name(), null));
                mRegistered.remove(worker.name());
                mLoop.schedule(event.millis(), () -> register(worker));
            }
            case GONE -> removeForGood(worker);
            case GONE_SILENTLY -> {
                worker.addFault(SimulatedWorker.Fault.CUT, Long.MAX_VALUE);
                removeForGood(worker);
            }
            case FLAP -> flap(worker, untilMillis);
            case FLAP_AS_NEW -> flapAsNew(worker, event.target(), 1, untilMillis);
            case STARTS_REFUSED ->
                    worker.addFault(SimulatedWorker.Fault.STARTS_REFUSED, untilMillis);
            case STARTS_HANG -> worker.addFault(SimulatedWorker.Fault.STARTS_HANG, untilMillis);
            case ORDERS_HANG -> worker.addFault(SimulatedWorker.Fault.ORDERS_HANG, untilMillis);
            case MUTE -> addPartialFault(worker, SimulatedWorker.Fault.MUTE, event);
            case SHED -> addPartialFault(worker, SimulatedWorker.Fault.SHED, event);
            case RESET -> addPartialFault(worker, SimulatedWorker.Fault.RESET, event);
            case OLD_LISTS -> worker.addFault(SimulatedWorker.Fault.OLD_LISTS, untilMillis);
            case STORE_SLOW -> disturbStore(FaultyStore.Fault.SLOW, event.millis());
            case STORE_UNANSWERED -> disturbStore(FaultyStore.Fault.UNANSWERED, event.millis());
            case STORE_LATE -> disturbStore(FaultyStore.Fault.LATE, event.millis());
            case STORE_REFUSED -> disturbStore(FaultyStore.Fault.REFUSED, event.millis());
            case STORE_DOWN -> takeStoreDown(event.millis());
            case STORE_LOADS_SLOWLY -> loadSlowly(100L * event.target(), event.millis());
            case RESTART_ALL, REBORN_ALL -> restartMany(event);
            case ISOLATED -> isolate(worker, event.millis());
            case HELD -> worker.addFault(SimulatedWorker.Fault.HELD, untilMillis);
            case HELD_FROM_LEADER, CUT_FROM_LEADER -> disturbLink(event);
            default -> disturbLeader(event);
        }
    }

    private void isolate(SimulatedWorker worker, long millis) {
        long untilMillis = mLoop.nowMillis() + millis;
        worker.addFault(SimulatedWorker.Fault.CUT, untilMillis);
        mIsolatedUntilMillis.merge(worker.name(), untilMillis, Math::max);
        if (millis > ENTRY_LIFE_MILLIS) {
            mLoop.schedule(
                    ENTRY_LIFE_MILLIS,
                    () -> mStore.records(Topic.WORKERS).add(new KeyedRecord(worker.name(), null)));
        }
        mLoop.schedule(millis + mRandom.nextInt(300), () -> register(worker));
    }

    /** Returns the target of a fault of the path from a process to a worker. */
    static int linkTarget(int worker, int process) {
        return worker * PROCESS_COUNT + process;
    }

    private void disturbLink(Event event) {
        SimulatedWorker.Fault fault =
                event.kind() == Kind.HELD_FROM_LEADER
                        ? SimulatedWorker.Fault.HELD
                        : SimulatedWorker.Fault.CUT;
        process(event.target())
                .mControl
                .addLinkFault(
                        "w" + event.target() / PROCESS_COUNT % mWorkerCount,
                        fault,
                        mLoop.nowMillis() + event.millis());
    }

    private EntryProcess process(int number) {
        int index = number % PROCESS_COUNT;
        EntryProcess process = mProcesses[index];
        if (process == null) {
            process = new EntryProcess();
            mProcesses[index] = process;
        }
        return process;
    }

    /** Has another process take the place of one that has been killed. */
    private void forget(EntryProcess process) {
        for (int index = 0; index < PROCESS_COUNT; index++) {
            if (mProcesses[index] == process) {
                mProcesses[index] = null;
            }
        }
    }

    private void restartMany(Event event) {
        // Its own, so that the delays are the same in a schedule with fewer events.
        Random random = new Random(mSeed * 17 + event.atMillis());
        boolean reborn = event.kind() == Kind.REBORN_ALL;
        int downMillis =
                MIN_RESTART_MILLIS
                        + random.nextInt(
                                MAX_RESTART_MILLIS - MIN_RESTART_MILLIS - SAME_MOMENT_MILLIS);
        int step = 1 + event.target() % 2;
        for (int number = 0; number < mWorkerCount; number += step) {
            SimulatedWorker worker = Objects.requireNonNull(mWorkers.get("w" + number));
            int startMillis = downMillis + random.nextInt(SAME_MOMENT_MILLIS);
            int entryMillis =
                    random.nextInt(reborn ? ENTRY_DELAY_MILLIS : Math.max(1, (int) event.millis()));
            if (reborn) {
                long untilMillis = mLoop.nowMillis() + event.millis();
                worker.addFault(SimulatedWorker.Fault.HELD, untilMillis);
            }
            if (worker.isUp()) {
                worker.crash();
                mLoop.schedule(startMillis, () -> startAgain(worker, entryMillis));
            }
        }
    }

    private void takeStoreDown(long millis) {
        disturbed(millis);
        mStore.down = true;
        mLoop.schedule(millis, () -> mStore.down = false);
    }

    private void loadSlowly(long loadMillis, long millis) {
        disturbed(millis);
        mStore.newestMillis = loadMillis;
        mLoop.schedule(millis, () -> mStore.newestMillis = mUsualLoadMillis);
    }

    private void addPartialFault(SimulatedWorker worker, SimulatedWorker.Fault fault, Event event) {
        int percent =
                switch (event.target() / mWorkerCount % 3) {
                    case 0 -> 30;
                    case 1 -> 60;
                    default -> 90;
                };
        worker.addFault(fault, percent, mLoop.nowMillis() + event.millis());
    }

    private static int lastingCount(int target) {
        return 1 + target / 5 % 4;
    }

    private static long lastingSize(int target) {
        return switch (target % 5) {
            case 0 -> 500;
            case 1 -> 1_000;
            case 2 -> 1_500;
            case 3 -> 2_000;
            default -> 3_000;
        };
    }

    /** Submits short jobs that keep about as many cores busy as given. */
    private void submitShortJobs(Random random, int cores, long untilMillis) {
        if (mLoop.nowMillis() < untilMillis) {
            int taskCount = 1 + random.nextInt(3);
            submit(LeaderFixture.step(taskCount, 1_000));
            // Tasks take 2,100 ms on average.
            long pauseMillis = taskCount * 2_100L / Math.max(1, cores);
            mLoop.schedule(pauseMillis, () -> submitShortJobs(random, cores, untilMillis));
        }
    }

    /** Ends a worker, which may be down at the time, for good; its entry is removed later. */
    private void removeForGood(SimulatedWorker worker) {
        if (mGoneForGood.add(worker.name())) {
            if (worker.isUp()) {
                worker.crash();
            }
            mLoop.schedule(
                    ENTRY_LIFE_MILLIS,
                    () -> mStore.records(Topic.WORKERS).add(new KeyedRecord(worker.name(), null)));
        }
    }

    private void flap(SimulatedWorker worker, long untilMillis) {
        if (mLoop.nowMillis() < untilMillis) {
            takeDown(worker, FLAP_PERIOD_MILLIS / 2);
            mLoop.schedule(FLAP_PERIOD_MILLIS, () -> flap(worker, untilMillis));
        }
    }

    /** Replaces a worker by a new one with another address, or, for odd targets, with the same. */
    private void flapAsNew(SimulatedWorker worker, int target, int turn, long untilMillis) {
        if (mLoop.nowMillis() >= untilMillis || !worker.isUp()) {
            return;
        }
        removeForGood(worker);
        mLoop.schedule(
                FLAP_PERIOD_MILLIS / 2,
                () -> {
                    if (target % 2 == 1) {
                        worker.addFault(SimulatedWorker.Fault.OTHER_WORKER, Long.MAX_VALUE);
                    }
                    SimulatedWorker successor =
                            addWorker(worker.name() + "n", 100 * turn + target % mWorkerCount);
                    successor.startAgain();
                    mLoop.schedule(mRandom.nextInt(300), () -> register(successor));
                    mLoop.schedule(
                            FLAP_PERIOD_MILLIS / 2,
                            () -> flapAsNew(successor, target, turn + 1, untilMillis));
                });
    }

    private void disturbLeader(Event event) {
        Leader leader = mLeader;
        if (leader == null) {
            return;
        }
        disturbed(event.millis());
        long now = mLoop.nowMillis();
        long untilMillis = now + event.millis();
        FormerLeader silent = new FormerLeader.Silent(mStore.records(Topic.PROGRESS).size(), now);
        FormerLeader former = mRandom.nextBoolean() ? new FormerLeader.Unknown() : silent;
        switch (event.kind()) {
            case LEADER_KILLED -> {
                leader.close();
                leader.mProcessLoop.kill();
                forget(leader.mProcess);
                replace(former, event.millis());
            }
            case LEADER_RESIGNED -> {
                leader.close();
                replace(
                        new FormerLeader.Stopped(
                                mEpoch,
                                now,
                                leader.mFirstRecordMillis < 0
                                        ? FormerLeader.Stopped.NEVER_SEEN
                                        : leader.mFirstRecordMillis),
                        event.millis());
            }
            case HAND_OVER -> handOver(leader, event);
            case LEADER_PAUSED -> pause(leader, event.millis());
            case LEADER_PAUSED_AND_REPLACED -> {
                pause(leader, event.millis());
                replace(former, event.millis() / 2);
            }
            case LEADER_CUT_AND_REPLACED -> {
                leader.mConnection.addFault(FaultyStore.Fault.CUT, untilMillis);
                replace(former, event.millis() / 2);
            }
            default -> throw new IllegalStateException(event.toString());
        }
    }

    /** Replaces a leader by a process that may have led before; the connections stay open. */
    private void handOver(Leader leader, Event event) {
        leader.mDispatcher.close();
        FormerLeader former =
                new FormerLeader.Stopped(
                        mEpoch,
                        mLoop.nowMillis(),
                        leader.mFirstRecordMillis < 0
                                ? FormerLeader.Stopped.NEVER_SEEN
                                : leader.mFirstRecordMillis);
        mLeader = null;
        mLoop.schedule(
                event.millis(),
                () -> {
                    if (mLeader == null) {
                        startLeader(process(event.target()), former);
                    }
                });
    }

    private void pause(Leader leader, long millis) {
        leader.mProcessLoop.pause();
        mLoop.schedule(millis, leader.mProcessLoop::resume);
    }

    private void replace(FormerLeader former, long delayMillis) {
        mLeader = null;
        mLoop.schedule(
                delayMillis,
                () -> {
                    if (mLeader == null) {
                        startLeader(former);
                    }
                });
    }

    private void startLeader(FormerLeader former) {
        startLeader(new EntryProcess(), former);
    }

    private void startLeader(EntryProcess process, FormerLeader former) {
        disturbed(0);
        mLeader = new Leader(process, ++mEpoch, former);
    }

    private void disturbStore(FaultyStore.Fault fault, long millis) {
        disturbed(millis);
        Leader leader = mLeader;
        if (leader != null) {
            leader.mConnection.addFault(fault, mLoop.nowMillis() + millis);
        }
    }

    /** Notes a disturbance; bounds on time hold four seconds after its end. */
    private void disturbed(long millis) {
        mHistory.mDisturbedUntilMillis =
                Math.max(mHistory.mDisturbedUntilMillis, mLoop.nowMillis() + millis + 4_000);
    }

    private void takeDown(SimulatedWorker worker, long millis) {
        if (worker.isUp()) {
            worker.crash();
            mLoop.schedule(millis, () -> startAgain(worker, mRandom.nextInt(300)));
        }
    }

    private void startAgain(SimulatedWorker worker, long registrationMillis) {
        if (mGoneForGood.contains(worker.name())) {
            return;
        }
        worker.startAgain();
        if (mVariant.unregisteredAnswersOther()) {
            worker.addFault(
                    SimulatedWorker.Fault.OTHER_WORKER, mLoop.nowMillis() + registrationMillis);
        }
        int incarnation = worker.incarnation();
        mLoop.schedule(
                registrationMillis,
                () -> {
                    if (worker.incarnation() == incarnation) {
                        register(worker);
                    }
                });
    }

    private void register(SimulatedWorker worker) {
        boolean isolated = mLoop.nowMillis() < mIsolatedUntilMillis.getOrDefault(worker.name(), 0L);
        if (worker.isUp() && !isolated) {
            mRegistered.put(worker.name(), worker.incarnation());
            byte[] value = String.valueOf(mEntries.size()).getBytes(StandardCharsets.UTF_8);
            mEntries.add(worker.entry());
            mStore.records(Topic.WORKERS).add(new KeyedRecord(worker.name(), value));
        }
    }

    /** Writes the entries of the registered workers again and again, as workers do. */
    private void rewriteEntries() {
        mLoop.schedule(
                ENTRY_INTERVAL_MILLIS,
                () -> {
                    mWorkers.values().stream().filter(this::isRegistered).forEach(this::register);
                    rewriteEntries();
                });
    }

    private boolean isRegistered(SimulatedWorker worker) {
        return Integer.valueOf(worker.incarnation()).equals(mRegistered.get(worker.name()));
    }

    private void submit(StepSpec... steps) {
        JobId job = new JobId("job" + mJobs.size());
        mJobs.add(job);
        mHistory.submitted(job, List.of(steps));
        JobSpec spec = new JobSpec("payload", List.of(steps), 0, 0, 0);
        Submission submission = new Submission(job, "queue", mLoop.wallMillis(), spec);
        mStore.records(Topic.JOBS)
                .add(new KeyedRecord(JobKeys.submission(job), submission.encode()));
    }

    private void cancel(int target) {
        if (!mJobs.isEmpty()) {
            JobId job = mJobs.get(target % mJobs.size());
            mHistory.cancelled(job);
            mStore.records(Topic.JOBS)
                    .add(new KeyedRecord(JobKeys.cancellation(job), new byte[] {1}));
        }
    }

    @Override
    public Either<String, OperatorDocument> decodeOperatorRecord(String key, byte[] value) {
        return Either.left("there are no operator documents");
    }

    @Override
    public Either<String, WorkerEntry> decodeWorkerEntry(String key, byte[] value) {
        return Either.right(
                mEntries.get(Integer.parseInt(new String(value, StandardCharsets.UTF_8))));
    }

    private static final List<Kind> WORKER_FAULTS =
            List.of(
                    Kind.RESTART,
                    Kind.RESTART,
                    Kind.DOWN,
                    Kind.CUT,
                    Kind.ANSWERS_LOST,
                    Kind.LATE_CALLS,
                    Kind.JITTER,
                    Kind.REFUSED,
                    Kind.UNHEALTHY,
                    Kind.OTHER_WORKER,
                    Kind.LEASE_DROPPED,
                    Kind.ENTRY_REMOVED);

    private static final List<Kind> CENTRAL_FAULTS =
            List.of(
                    Kind.STORE_SLOW,
                    Kind.STORE_UNANSWERED,
                    Kind.STORE_LATE,
                    Kind.STORE_REFUSED,
                    Kind.STORE_DOWN,
                    Kind.LEADER_KILLED,
                    Kind.LEADER_RESIGNED,
                    Kind.LEADER_PAUSED,
                    Kind.LEADER_PAUSED_AND_REPLACED,
                    Kind.LEADER_CUT_AND_REPLACED);

    /** Returns the schedule of a seed. */
    static List<Event> schedule(long seed) {
        Random random = new Random(seed * 31 + 7);
        List<Event> events = new ArrayList<>();
        int lengthMillis = 3_000 + random.nextInt(17_000);
        int jobCount = 4 + random.nextInt(8);
        for (int number = 0; number < jobCount; number++) {
            Kind kind =
                    number < 2
                            ? Kind.SUBMIT_LONG_RUNNING
                            : random.nextInt(3) == 0 ? Kind.SUBMIT_CHAIN : Kind.SUBMIT;
            int atMillis = random.nextInt(lengthMillis);
            events.add(new Event(atMillis, kind, random.nextInt(12), 0));
        }
        for (int count = random.nextInt(4); count > 0; count--) {
            int atMillis = 500 + random.nextInt(lengthMillis);
            events.add(new Event(atMillis, Kind.CANCEL, random.nextInt(jobCount), 0));
        }
        for (int count = random.nextInt(4); count > 0; count--) {
            addBurst(events, random, 300 + random.nextInt(lengthMillis));
        }
        int workerCount = 1 + random.nextInt(WORKER_COUNT);
        for (int count = 1 + random.nextInt(10); count > 0; count--) {
            Kind kind = WORKER_FAULTS.get(random.nextInt(WORKER_FAULTS.size()));
            int atMillis = 300 + random.nextInt(lengthMillis);
            int target = random.nextInt(workerCount);
            events.add(new Event(atMillis, kind, target, durationMillis(random)));
            if (kind == Kind.RESTART && random.nextInt(3) == 0) {
                int againMillis = atMillis + 50 + random.nextInt(900);
                events.add(new Event(againMillis, kind, target, random.nextInt(3_000)));
            }
        }
        for (int count = random.nextInt(5); count > 0; count--) {
            Kind kind = CENTRAL_FAULTS.get(random.nextInt(CENTRAL_FAULTS.size()));
            int atMillis = 300 + random.nextInt(lengthMillis);
            long millis = 500 + random.nextInt(4_500);
            events.add(new Event(atMillis, kind, 0, millis));
        }
        events.sort(Comparator.comparingLong(Event::atMillis));
        return events;
    }

    /** Adds several faults of one worker and a job within 1.5 s. */
    private static void addBurst(List<Event> events, Random random, int atMillis) {
        int target = random.nextInt(WORKER_COUNT);
        events.add(new Event(atMillis, Kind.SUBMIT, random.nextInt(12), 0));
        events.add(new Event(atMillis + 5, Kind.SUBMIT, random.nextInt(12), 0));
        for (int count = 2 + random.nextInt(3); count > 0; count--) {
            Kind kind = WORKER_FAULTS.get(random.nextInt(WORKER_FAULTS.size()));
            int faultMillis = Math.max(0, atMillis - 700 + random.nextInt(1_500));
            events.add(new Event(faultMillis, kind, target, durationMillis(random)));
        }
        if (random.nextInt(3) == 0) {
            Kind kind = CENTRAL_FAULTS.get(random.nextInt(CENTRAL_FAULTS.size()));
            events.add(new Event(atMillis + random.nextInt(500), kind, 0, 500));
        }
    }

    private static final List<Kind> LOSS_FAULTS =
            List.of(
                    Kind.GONE,
                    Kind.GONE_SILENTLY,
                    Kind.FLAP,
                    Kind.FLAP_AS_NEW,
                    Kind.STARTS_REFUSED,
                    Kind.STARTS_HANG,
                    Kind.ORDERS_HANG,
                    Kind.HANG,
                    Kind.UNHEALTHY,
                    Kind.RESTART,
                    Kind.DOWN);

    /** Faults that make the start of a lost task fail. */
    private static final List<Kind> START_FAULTS =
            List.of(
                    Kind.GONE,
                    Kind.GONE_SILENTLY,
                    Kind.GONE_SILENTLY,
                    Kind.FLAP,
                    Kind.FLAP_AS_NEW,
                    Kind.STARTS_REFUSED,
                    Kind.STARTS_HANG,
                    Kind.ORDERS_HANG,
                    Kind.UNHEALTHY);

    /** Returns the number of workers for the schedule of a seed. */
    static int lossWorkerCount(long seed) {
        return MIN_LOSS_WORKER_COUNT + (int) Math.floorMod(seed, 3L);
    }

    /** Returns the schedule of a seed in which workers with long-running tasks are lost. */
    static List<Event> lossSchedule(long seed) {
        Random random = new Random(seed * 37 + 11);
        List<Event> events = new ArrayList<>();
        int workerCount = lossWorkerCount(seed);
        int lengthMillis = 8_000 + random.nextInt(16_000);
        long lastingMillicores = workerCount * (1_000L + random.nextInt(2_200));
        while (lastingMillicores > 0) {
            int target = random.nextInt(20);
            events.add(new Event(random.nextInt(1_500), Kind.SUBMIT_LASTING, target, 0));
            lastingMillicores -= lastingCount(target) * lastingSize(target);
        }
        if (random.nextInt(4) > 0) {
            int cores = 1 + random.nextInt(2 * workerCount);
            int atMillis = random.nextInt(3_000);
            long millis = lengthMillis + random.nextInt(12_000);
            events.add(new Event(atMillis, Kind.SHORT_JOBS, cores, millis));
        }
        int atMillis = 3_000 + random.nextInt(lengthMillis);
        switch (random.nextInt(4)) {
            case 0 -> {
                for (int count = 1 + random.nextInt(3); count > 0; count--) {
                    addFaults(events, random, workerCount, atMillis, LOSS_FAULTS);
                    addChangeOfLeaders(events, random, atMillis);
                    atMillis = 3_000 + random.nextInt(lengthMillis);
                }
            }
            case 1 -> {
                addLosses(events, random, workerCount, atMillis);
                addChangeOfLeaders(events, random, atMillis);
            }
            default -> {
                addLosses(events, random, workerCount, atMillis);
                addChangeOfLeaders(events, random, atMillis);
                // Up to the time at which the leases of the lost workers lapse.
                for (int count = 1 + random.nextInt(3); count > 0; count--) {
                    atMillis += 1_000 + random.nextInt(4_000);
                    addFaults(events, random, workerCount, atMillis, START_FAULTS);
                    addChangeOfLeaders(events, random, atMillis);
                }
            }
        }
        events.sort(Comparator.comparingLong(Event::atMillis));
        return events;
    }

    private static final List<Kind> FIRST_CHANGES =
            List.of(
                    Kind.LEADER_KILLED,
                    Kind.LEADER_RESIGNED,
                    Kind.LEADER_PAUSED_AND_REPLACED,
                    Kind.LEADER_CUT_AND_REPLACED,
                    Kind.LEADER_CUT_AND_REPLACED);

    private static final List<Kind> SERIES_FAULTS =
            List.of(
                    Kind.CUT,
                    Kind.CUT,
                    Kind.ANSWERS_LOST,
                    Kind.REFUSED,
                    Kind.RESTART,
                    Kind.GONE_SILENTLY,
                    Kind.STORE_UNANSWERED,
                    Kind.STORE_SLOW);

    /**
     * Returns the schedule of a seed in which several leaders follow each other, most of them
     * before they have loaded, while workers are cut off or lost.
     */
    static List<Event> seriesSchedule(long seed) {
        Random random = new Random(seed * 41 + 3);
        List<Event> events = new ArrayList<>();
        int workerCount = lossWorkerCount(seed);
        for (int count = 0; count < workerCount; count++) {
            events.add(new Event(random.nextInt(1_000), Kind.SUBMIT_LASTING, 5, 0));
        }
        int atMillis = 3_000 + random.nextInt(2_000);
        for (int series = 1 + random.nextInt(2); series > 0; series--) {
            int leaderCount = 1 + random.nextInt(6);
            int changeMillis = atMillis;
            Kind change = FIRST_CHANGES.get(random.nextInt(FIRST_CHANGES.size()));
            events.add(new Event(changeMillis, change, 0, random.nextInt(3_000)));
            changeMillis += random.nextInt(1_600);
            for (int count = leaderCount; count > 0; count--) {
                events.add(new Event(changeMillis, Kind.LEADER_RESIGNED, 0, random.nextInt(150)));
                changeMillis += 50 + random.nextInt(random.nextBoolean() ? 400 : 1_000);
            }
            long loadMillis = changeMillis - atMillis;
            if (random.nextInt(4) > 0) {
                int target = 2 + random.nextInt(20);
                events.add(new Event(atMillis, Kind.STORE_LOADS_SLOWLY, target, loadMillis));
            }
            for (int count = 1 + random.nextInt(4); count > 0; count--) {
                Kind kind = SERIES_FAULTS.get(random.nextInt(SERIES_FAULTS.size()));
                int faultMillis = atMillis - 1_000 + random.nextInt((int) loadMillis + 2_000);
                long millis =
                        switch (kind) {
                            case STORE_UNANSWERED, STORE_SLOW, RESTART -> random.nextInt(1_500);
                            case GONE_SILENTLY -> 0;
                            default -> 4_000 + random.nextInt(9_000);
                        };
                events.add(new Event(faultMillis, kind, random.nextInt(workerCount), millis));
            }
            atMillis = changeMillis + random.nextInt(8_000);
        }
        events.sort(Comparator.comparingLong(Event::atMillis));
        return events;
    }

    /** Adds the loss of several workers at once, of which at least three are left. */
    private static void addLosses(
            List<Event> events, Random random, int workerCount, int atMillis) {
        List<Kind> kinds =
                random.nextBoolean() ? List.of(Kind.GONE) : List.of(Kind.GONE, Kind.GONE_SILENTLY);
        int first = random.nextInt(workerCount);
        for (int number = random.nextInt(workerCount - 3); number >= 0; number--) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            events.add(new Event(atMillis, kind, (first + number) % workerCount, 0));
        }
    }

    /** Adds up to four faults within three seconds, often several of the same kind. */
    private static void addFaults(
            List<Event> events, Random random, int workerCount, int atMillis, List<Kind> kinds) {
        Kind kind = kinds.get(random.nextInt(kinds.size()));
        for (int number = 1 + random.nextInt(4); number > 0; number--) {
            int faultMillis = random.nextBoolean() ? atMillis : atMillis + random.nextInt(3_000);
            int target = random.nextInt(workerCount);
            events.add(new Event(faultMillis, kind, target, lossMillis(kind, random)));
            if (random.nextBoolean()) {
                kind = kinds.get(random.nextInt(kinds.size()));
            }
        }
    }

    /** Adds, two times of three, a change of leaders at most 2.5 s before or after a time. */
    private static void addChangeOfLeaders(List<Event> events, Random random, int atMillis) {
        if (random.nextInt(3) > 0) {
            Kind change = random.nextBoolean() ? Kind.LEADER_KILLED : Kind.LEADER_RESIGNED;
            int changeMillis = Math.max(0, atMillis - 2_500 + random.nextInt(5_000));
            int electionMillis =
                    change == Kind.LEADER_KILLED ? 800 + random.nextInt(700) : random.nextInt(600);
            events.add(new Event(changeMillis, change, 0, electionMillis));
        }
    }

    private static long lossMillis(Kind kind, Random random) {
        return switch (kind) {
            case FLAP, FLAP_AS_NEW -> 4_000 + random.nextInt(4_000);
            case GONE, GONE_SILENTLY -> 0;
            case RESTART -> random.nextInt(1_500);
            default -> 2_000 + random.nextInt(5_000);
        };
    }

    private static long durationMillis(Random random) {
        return random.nextBoolean() ? random.nextInt(3_000) : random.nextInt(9_000);
    }

    /**
     * Removes the events without which a rule is broken all the same.
     *
     * @return the rest, without which it is not
     */
    static List<Event> shrink(
            List<Event> schedule,
            Function<List<Event>, List<RunHistory.Violation>> play,
            RunHistory.Rule rule) {
        List<Event> rest = new ArrayList<>(schedule);
        boolean removed = true;
        while (removed) {
            removed = false;
            for (int index = rest.size() - 1; index >= 0; index--) {
                List<Event> fewer = new ArrayList<>(rest);
                fewer.remove(index);
                if (play.apply(fewer).stream().anyMatch(broken -> broken.rule() == rule)) {
                    rest = fewer;
                    removed = true;
                }
            }
        }
        return rest;
    }

    /**
     * Runs a range of seeds and prints the broken rules: {@code FIRST COUNT [hides] [orders]
     * [unregistered] [cursor] [shrink] [loss] [series] [incident] [isolated] [held] [resets]
     * [proxy] [lease10]}. With {@code loss} it plays {@link #lossSchedule}, with {@code series}
     * {@link #seriesSchedule}, and with {@code incident} {@link IncidentFaults#schedule}. With
     * {@code held}, every cut holds the calls instead of dropping them, and with {@code isolated},
     * some workers of {@code incident} are isolated soon after they restart.
     */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        long count = Long.parseLong(arguments[1]);
        List<String> options = List.of(arguments);
        Variant variant =
                new Variant(
                        options.contains("hides"),
                        options.contains("orders"),
                        options.contains("unregistered"),
                        options.contains("cursor"),
                        false,
                        false,
                        options.contains("resets"),
                        options.contains("proxy"),
                        options.contains("lease10") ? LONGER_LEASE_MILLIS : LONGEST_LEASE_MILLIS);
        Map<RunHistory.Rule, Integer> counts = new HashMap<>();
        int brokenCount = 0;
        boolean incident = options.contains("incident");
        boolean series = options.contains("series");
        boolean loss = series || options.contains("loss");
        for (long seed = first; seed < first + count; seed++) {
            long playedSeed = seed;
            Function<List<Event>, List<RunHistory.Violation>> play =
                    events ->
                            incident
                                    ? runIncident(playedSeed, events, variant)
                                    : loss
                                            ? runLoss(playedSeed, events, variant)
                                            : run(playedSeed, events, variant);
            List<Event> schedule =
                    incident
                            ? IncidentFaults.schedule(seed)
                            : series
                                    ? seriesSchedule(seed)
                                    : loss ? lossSchedule(seed) : schedule(seed);
            if (options.contains("isolated")) {
                schedule = IncidentFaults.isolateWorkers(seed, schedule);
            }
            if (options.contains("held")) {
                schedule = IncidentFaults.holdCalls(schedule);
            }
            List<RunHistory.Violation> violations = play.apply(schedule);
            if (violations.isEmpty()) {
                continue;
            }
            brokenCount++;
            RunHistory.Rule rule = violations.get(0).rule();
            counts.merge(rule, 1, Integer::sum);
            System.out.println("seed " + seed + ": " + violations.get(0));
            if (options.contains("shrink")) {
                List<Event> rest = shrink(schedule, play, rule);
                rest.forEach(event -> System.out.println("    " + event));
                System.out.println("    " + play.apply(rest));
            }
        }
        System.out.println(brokenCount + " of " + count + " seeds broke a rule: " + counts);
    }
}
