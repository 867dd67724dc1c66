package org.hornbeamward.dispatch.lead;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
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
        CANCEL,
        /** The worker restarts at once; its entry is written after the duration. */
        RESTART,
        /** The worker is down for the duration. */
        DOWN,
        CUT,
        ANSWERS_LOST,
        LATE_CALLS,
        JITTER,
        REFUSED,
        UNHEALTHY,
        /** The worker is down, and another one answers at its address. */
        OTHER_WORKER,
        LEASE_DROPPED,
        ENTRY_REMOVED,
        STORE_SLOW,
        STORE_UNANSWERED,
        STORE_LATE,
        STORE_REFUSED,
        STORE_DOWN,
        /** The leader is killed; a successor starts after the duration. */
        LEADER_KILLED,
        /** The leader resigns; a successor starts after the duration. */
        LEADER_RESIGNED,
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
     */
    record Variant(
            boolean hidesStoppingRuns,
            boolean laterIncarnationsTakeOrders,
            boolean unregisteredAnswersOther,
            boolean remembersAcknowledgements) {
        static final Variant NONE = new Variant(false, false, false, false);
    }

    private static final int WORKER_COUNT = 4;
    private static final long LONGEST_LEASE_MILLIS = 6_000;
    private static final long RUN_AGAIN_MILLIS = 6_000;
    private static final long END_MILLIS = 45_000;

    private final class Leader implements StatusListener {
        private final PausableLoop mProcessLoop = new PausableLoop(mLoop);
        private final FaultyStore mConnection =
                new FaultyStore(mLoop, mProcessLoop, mStore, mRandom);
        private final Dispatcher mDispatcher;
        private final Map<JobId, JobPhase> mPhases = new HashMap<>();
        private long mFirstRecordMillis = -1;
        private boolean mGone;

        Leader(long epoch, FormerLeader former) {
            FaultyWorkers control = new FaultyWorkers(mLoop, mProcessLoop, mWorkers);
            control.laterIncarnationsTakeOrders = mVariant.laterIncarnationsTakeOrders();
            mDispatcher = newDispatcher(control, epoch, former);
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
                    new DispatchLimits(LONGEST_LEASE_MILLIS, 200, 600_000, 1.0, 1_000),
                    new NodeMetrics(),
                    epoch,
                    former,
                    reason -> mGone = true);
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
    private final Random mRandom;
    private final Variant mVariant;
    private final Map<String, SimulatedWorker> mWorkers = new LinkedHashMap<>();
    private final List<WorkerEntry> mEntries = new ArrayList<>();
    private final List<JobId> mJobs = new ArrayList<>();
    private final RunHistory mHistory;
    private final long mStartMillis;
    private @Nullable Leader mLeader;
    private long mEpoch;
    private boolean mCalm;

    private RandomFaults(long seed, Variant variant) {
        mRandom = new Random(seed);
        mVariant = variant;
        mHistory =
                new RunHistory(
                        mLoop, () -> mWorkers.values().forEach(SimulatedWorker::expireLeases));
        for (int number = 0; number < WORKER_COUNT; number++) {
            SimulatedWorker worker =
                    new SimulatedWorker(
                            mLoop,
                            "w" + number,
                            LONGEST_LEASE_MILLIS,
                            number % 2 == 0 ? 98 : 100,
                            // Its own, so that the order of calls to several workers is irrelevant.
                            new Random(seed * WORKER_COUNT + number),
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
            worker.hidesStoppingRuns = variant.hidesStoppingRuns();
            worker.remembersAcknowledgements = variant.remembersAcknowledgements();
            mWorkers.put(worker.name(), worker);
            register(worker);
        }
        mStartMillis = mLoop.nowMillis();
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
        return new RandomFaults(seed, variant).run(schedule);
    }

    private List<RunHistory.Violation> run(List<Event> schedule) {
        startLeader(new FormerLeader.Unknown());
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
        mHistory.checkLongRunning(calmMillis + RUN_AGAIN_MILLIS - 1);
        advance(END_MILLIS);
        Leader leader = mLeader;
        if (leader != null) {
            mHistory.checkEnd(leader.mPhases);
        }
        return mHistory.mViolations;
    }

    private void advance(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += 50) {
            mLoop.advance(Math.min(50, millis - passedMillis));
            mWorkers.values().forEach(SimulatedWorker::expireLeases);
            Leader leader = mLeader;
            if (leader != null && leader.mFirstRecordMillis < 0) {
                leader.mFirstRecordMillis =
                        leader.mDispatcher.progressOffset() >= 0 ? mLoop.nowMillis() : -1;
            }
        }
    }

    private void apply(Event event) {
        SimulatedWorker worker =
                Objects.requireNonNull(mWorkers.get("w" + event.target() % WORKER_COUNT));
        long untilMillis = mLoop.nowMillis() + event.millis();
        switch (event.kind()) {
            case SUBMIT -> submit(LeaderFixture.step(1 + event.target() % 4, 1_000));
            case SUBMIT_CHAIN ->
                    submit(
                            LeaderFixture.step(1 + event.target() % 3, 500),
                            LeaderFixture.step(1 + event.target() % 2, 1_000, 0));
            case SUBMIT_LONG_RUNNING ->
                    submit(LeaderFixture.longRunning(1 + event.target() % 2, 1_000));
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
            case CUT -> worker.addFault(SimulatedWorker.Fault.CUT, untilMillis);
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
                mLoop.schedule(event.millis(), () -> register(worker));
            }
            case STORE_SLOW -> disturbStore(FaultyStore.Fault.SLOW, event.millis());
            case STORE_UNANSWERED -> disturbStore(FaultyStore.Fault.UNANSWERED, event.millis());
            case STORE_LATE -> disturbStore(FaultyStore.Fault.LATE, event.millis());
            case STORE_REFUSED -> disturbStore(FaultyStore.Fault.REFUSED, event.millis());
            case STORE_DOWN -> {
                disturbed(event.millis());
                mStore.down = true;
                mLoop.schedule(event.millis(), () -> mStore.down = false);
            }
            default -> disturbLeader(event);
        }
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
                leader.mDispatcher.close();
                leader.mProcessLoop.kill();
                replace(former, event.millis());
            }
            case LEADER_RESIGNED -> {
                leader.mDispatcher.close();
                replace(
                        new FormerLeader.Stopped(
                                mEpoch,
                                now,
                                leader.mFirstRecordMillis < 0
                                        ? FormerLeader.Stopped.NEVER_SEEN
                                        : leader.mFirstRecordMillis),
                        event.millis());
            }
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
        disturbed(0);
        mLeader = new Leader(++mEpoch, former);
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
        if (worker.isUp()) {
            byte[] value = String.valueOf(mEntries.size()).getBytes(StandardCharsets.UTF_8);
            mEntries.add(worker.entry());
            mStore.records(Topic.WORKERS).add(new KeyedRecord(worker.name(), value));
        }
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

    private static long durationMillis(Random random) {
        return random.nextBoolean() ? random.nextInt(3_000) : random.nextInt(9_000);
    }

    /**
     * Removes the events without which a rule is broken all the same.
     *
     * @return the rest, without which it is not
     */
    static List<Event> shrink(
            long seed, List<Event> schedule, Variant variant, RunHistory.Rule rule) {
        List<Event> rest = new ArrayList<>(schedule);
        boolean removed = true;
        while (removed) {
            removed = false;
            for (int index = rest.size() - 1; index >= 0; index--) {
                List<Event> fewer = new ArrayList<>(rest);
                fewer.remove(index);
                if (breaks(seed, fewer, variant, rule)) {
                    rest = fewer;
                    removed = true;
                }
            }
        }
        return rest;
    }

    private static boolean breaks(
            long seed, List<Event> schedule, Variant variant, RunHistory.Rule rule) {
        return run(seed, schedule, variant).stream().anyMatch(broken -> broken.rule() == rule);
    }

    /**
     * Runs a range of seeds and prints the broken rules: {@code FIRST COUNT [hides] [orders]
     * [unregistered] [cursor] [shrink]}.
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
                        options.contains("cursor"));
        Map<RunHistory.Rule, Integer> counts = new HashMap<>();
        int brokenCount = 0;
        for (long seed = first; seed < first + count; seed++) {
            List<Event> schedule = schedule(seed);
            List<RunHistory.Violation> violations = run(seed, schedule, variant);
            if (violations.isEmpty()) {
                continue;
            }
            brokenCount++;
            RunHistory.Rule rule = violations.get(0).rule();
            counts.merge(rule, 1, Integer::sum);
            System.out.println("seed " + seed + ": " + violations.get(0));
            if (options.contains("shrink")) {
                List<Event> rest = shrink(seed, schedule, variant, rule);
                rest.forEach(event -> System.out.println("    " + event));
                System.out.println("    " + run(seed, rest, variant));
            }
        }
        System.out.println(brokenCount + " of " + count + " seeds broke a rule: " + counts);
    }
}
