package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hornbeamward.dispatch.account.AccountUsage;
import org.hornbeamward.dispatch.account.ClientAccount;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.config.SchedulingOptions;
import org.hornbeamward.dispatch.decide.JobOrder;
import org.hornbeamward.dispatch.decide.JobOrder.ImageGroup;
import org.hornbeamward.dispatch.decide.LookAhead;
import org.hornbeamward.dispatch.decide.Placement;
import org.hornbeamward.dispatch.decide.Placement.Demand;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.Resources;
import org.jspecify.annotations.Nullable;

/** Places the waiting tasks on workers, job by job in the order of {@link JobOrder}. */
final class Scheduler {
    /** Time without a further long-running job after which the waiting ones are placed together. */
    private static final long BATCH_QUIET_MILLIS = 200;

    /**
     * Longest time that a long-running job waits for others, since its running time is credited in
     * units of two seconds.
     */
    private static final long BATCH_WAIT_LIMIT_MILLIS = 600;

    /** Largest number of workers whose room is held at the same time, so that most stay usable. */
    private static final int MAX_HOLD_COUNT = 4;

    /**
     * Time after which room is held for a task no longer. Wrong estimates must not keep workers
     * from other tasks.
     */
    private static final long MAX_HOLD_MILLIS = 3_000;

    /** Interval at which the worker to hold for a task is chosen anew. */
    private static final long HOLD_SEARCH_INTERVAL_MILLIS = 100;

    /**
     * Longest time for which a task that lasts waits for answers of the workers that it could start
     * on. One that is gone is noticed within a second, and a slow leader must not ask for ever.
     */
    private static final long MAX_ASK_MILLIS = 1_500;

    /** A move is worth its cost if the interference falls below this share of the present one. */
    private static final double WORTHWHILE_INTERFERENCE_SHARE = 0.4;

    private final JobTable mJobs;
    private final AccountControl mAccounts;
    private final FillerController mFillerController;
    private final PlacementMonitor mMonitor;
    private final WaitingTasks mWaitingTasks = new WaitingTasks();
    private SchedulingOptions mOptions = SchedulingOptions.DEFAULT;
    private Set<FailureDomainId> mDomainsOut = Set.of();
    private @Nullable ClusterConfig mConfig;

    Scheduler(
            JobTable jobs,
            AccountControl accounts,
            FillerController fillerController,
            PlacementMonitor monitor) {
        mJobs = jobs;
        mAccounts = accounts;
        mFillerController = fillerController;
        mMonitor = monitor;
    }

    void configure(ClusterConfig config) {
        mConfig = config;
    }

    void setOptions(SchedulingOptions options) {
        mOptions = options;
    }

    void takeOut(Set<FailureDomainId> domains) {
        mDomainsOut = Set.copyOf(domains);
    }

    /** Returns whether a failure domain is taken out of service, so that no task starts there. */
    boolean isOut(FailureDomainId domain) {
        return mDomainsOut.contains(domain);
    }

    /**
     * A job, or only its interrupted tasks, with the values that determine the place in the order.
     */
    private record RankedJob(Job job, JobOrder.SortKey sortKey) {}

    /** The state of one placement pass: usable workers, new runs and demands without a worker. */
    private final class Pass {
        private final long mNowMillis;
        private final List<WorkerSession> mUsableWorkers = new ArrayList<>();
        private @Nullable List<WorkerCandidate> mUsableCandidates;
        private final List<Run> mRuns = new ArrayList<>();
        private final Set<Task> mDecided = new HashSet<>();

        /** What the tasks take that the pass has placed, by account. */
        private final AccountUsage mPlannedUsage = new AccountUsage();

        private final Map<WorkerSession, WorkerCandidate> mCandidates = new HashMap<>();
        private final Map<Demand.Kind, List<Demand>> mUnplaced = new HashMap<>();
        private @Nullable Resources mLargestRoom;
        private int mHoldCount;
        private long mLookedAtCount;

        /** Whether a gang holds room of which it is not known yet whether all members fit. */
        private boolean mGangHoldsRoom;

        Pass(long nowMillis) {
            mNowMillis = nowMillis;
        }

        /**
         * Returns whether the pass has placed a task, whose run is not attached yet, or keeps the
         * room of a worker for it that is asked first.
         */
        private boolean isDecided(Task task) {
            return mDecided.contains(task);
        }

        private WorkerCandidate candidate(WorkerSession worker) {
            return mCandidates.computeIfAbsent(
                    worker, key -> new WorkerCandidate(key, mFillerController));
        }

        /** Returns the usable workers; most passes place nothing and need no candidates. */
        private List<WorkerCandidate> candidates() {
            List<WorkerCandidate> candidates = mUsableCandidates;
            if (candidates == null) {
                candidates = new ArrayList<>(mUsableWorkers.size());
                for (WorkerSession worker : mUsableWorkers) {
                    candidates.add(candidate(worker));
                }
                mUsableCandidates = candidates;
            }
            return candidates;
        }

        /** Returns the most that was free on any worker when the pass began, by resource. */
        private Resources largestRoom() {
            Resources largest = mLargestRoom;
            if (largest == null) {
                largest = Resources.NONE;
                for (WorkerCandidate candidate : candidates()) {
                    largest = largest.max(candidate.free());
                }
                mLargestRoom = largest;
            }
            return largest;
        }

        /**
         * Returns whether no worker has the room, or a demand of the same kind that is no larger
         * and has waited at least as long has found no worker in this pass.
         */
        private boolean isKnownUnplaceable(Demand demand) {
            if (!demand.step().reservation().fitsIn(largestRoom())) {
                return true;
            }
            for (Demand unplaced : mUnplaced.getOrDefault(demand.kind(), List.of())) {
                if (unplaced.step().size().fitsIn(demand.step().size())
                        && (unplaced.interrupted() || !demand.interrupted())
                        && unplaced.waitedMillis() >= demand.waitedMillis()
                        && (mHoldCount == 0 || mayNotBackfill(unplaced, demand))) {
                    return true;
                }
            }
            return false;
        }

        /**
         * Returns whether held room that one task may not use is of no use to another one either.
         */
        private static boolean mayNotBackfill(Demand unplaced, Demand demand) {
            return unplaced.step().estimateMillis() <= demand.step().estimateMillis();
        }

        /**
         * Remembers a demand without a worker. While members of a gang hold room that they give
         * back if not all of them fit, the demand says nothing about others.
         */
        private void recordUnplaced(Demand demand) {
            if (demand.isUnrestricted() && !mGangHoldsRoom) {
                mUnplaced.computeIfAbsent(demand.kind(), key -> new ArrayList<>()).add(demand);
            }
        }
    }

    /**
     * Decides which tasks start on which workers. The runs are not attached to the workers yet.
     *
     * @param workers all workers
     * @param loop provides the clocks
     * @return the new runs
     */
    List<Run> place(Collection<WorkerSession> workers, Loop loop) {
        ClusterConfig config = mConfig;
        if (config == null) {
            return List.of();
        }
        long nowWallMillis = loop.wallMillis();
        long startNanos = System.nanoTime();
        List<RankedJob> ranked = rank(nowWallMillis, loop.nowMillis());
        long rankedNanos = System.nanoTime();
        if (ranked.isEmpty()) {
            return List.of();
        }
        Pass pass = newPass(workers, loop.nowMillis());
        boolean waitForBatch = awaitsLongRunningJobs(ranked, loop.nowMillis());
        placeInterrupted(pass, ranked, loop.nowMillis());
        for (RankedJob entry : ranked) {
            if (!entry.sortKey().interrupted()
                    && (!waitForBatch || !entry.job().isNewAndLongRunning())) {
                placeJob(pass, entry.job(), nowWallMillis, loop.nowMillis());
            }
        }
        mMonitor.passEnded(
                rankedNanos - startNanos,
                System.nanoTime() - rankedNanos,
                pass.mLookedAtCount,
                pass.mRuns.size());
        mWaitingTasks.logIfDue(loop.nowMillis(), pass::candidates);
        return pass.mRuns;
    }

    /** Returns whether new long-running jobs wait for others that may be placed with them. */
    private static boolean awaitsLongRunningJobs(List<RankedJob> ranked, long nowMillis) {
        long oldestMillis = Long.MAX_VALUE;
        long newestMillis = Long.MIN_VALUE;
        for (RankedJob entry : ranked) {
            if (entry.job().isNewAndLongRunning()) {
                oldestMillis = Math.min(oldestMillis, entry.job().knownSinceMillis);
                newestMillis = Math.max(newestMillis, entry.job().knownSinceMillis);
            }
        }
        return newestMillis > Long.MIN_VALUE
                && nowMillis - newestMillis < BATCH_QUIET_MILLIS
                && nowMillis - oldestMillis < BATCH_WAIT_LIMIT_MILLIS;
    }

    private Pass newPass(Collection<WorkerSession> workers, long nowMillis) {
        Pass pass = new Pass(nowMillis);
        for (WorkerSession worker : workers) {
            if (worker.usable() && !mDomainsOut.contains(worker.entry().domain())) {
                pass.mUsableWorkers.add(worker);
            }
        }
        return pass;
    }

    private List<RankedJob> rank(long nowWallMillis, long nowMillis) {
        List<RankedJob> ranked = new ArrayList<>();
        Map<String, Long> demand = waitingLongRunningDemand();
        for (Job job : mJobs.active()) {
            QueueConfig queue = job.queue;
            if (job.terminal() || queue == null) {
                continue;
            }
            JobOrder.SortKey key = sortKey(job, queue, nowWallMillis, nowMillis, false, demand);
            noteTier(job, key, nowWallMillis, nowMillis);
            ranked.add(new RankedJob(job, key));
            if (hasInterruptedTask(job, nowMillis)) {
                ranked.add(
                        new RankedJob(
                                job, sortKey(job, queue, nowWallMillis, nowMillis, true, demand)));
            }
        }
        Comparator<JobOrder.SortKey> order = JobOrder.at(nowWallMillis);
        ranked.sort((left, right) -> order.compare(left.sortKey(), right.sortKey()));
        return ranked;
    }

    /** Logs that a job has become late, or worth nothing any more. */
    private static void noteTier(
            Job job, JobOrder.SortKey key, long nowWallMillis, long nowMillis) {
        JobOrder.Tier tier = JobOrder.tier(key, nowWallMillis);
        if (tier == job.tier) {
            return;
        }
        job.tier = tier;
        if (tier != JobOrder.Tier.LATE && tier != JobOrder.Tier.WORTHLESS) {
            return;
        }
        int taskCount = 0;
        int doneCount = 0;
        int readyCount = 0;
        int startCount = 0;
        int failureCount = 0;
        for (Step step : job.steps(0)) {
            boolean ready = job.dependenciesDone(step);
            taskCount += step.tasks.length;
            doneCount += step.doneCount;
            for (Task task : step.tasks) {
                readyCount += ready && task.waiting() && task.notBeforeMillis <= nowMillis ? 1 : 0;
                startCount += task.lastAttempt;
                failureCount += task.failureCount;
            }
        }
        LogEvent.JOB_LATE.log(
                job.submission.job(),
                tier,
                nowWallMillis - key.releaseWallMillis(),
                key.objectiveMillis(),
                doneCount,
                taskCount,
                job.liveRunCount,
                readyCount,
                startCount,
                failureCount);
    }

    private static boolean hasInterruptedTask(Job job, long nowMillis) {
        if (!job.spec().longRunning()) {
            return false;
        }
        for (Step step : job.steps(0)) {
            for (Task task : step.tasks) {
                if (task.interrupted(nowMillis)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the millicores that new long-running jobs will reserve, by image. */
    private Map<String, Long> waitingLongRunningDemand() {
        Map<String, Long> demand = new HashMap<>();
        for (Job job : mJobs.active()) {
            if (job.isNewAndLongRunning()) {
                for (StepSpec step : job.spec().steps()) {
                    long millicores = step.taskCount() * step.size().cpuMillicores();
                    demand.merge(step.image(), millicores, Long::sum);
                }
            }
        }
        return demand;
    }

    private static ImageGroup imageGroup(Job job, Map<String, Long> demand) {
        if (!job.isNewAndLongRunning()) {
            return ImageGroup.NONE;
        }
        StepSpec step = job.spec().steps().get(0);
        return new ImageGroup(
                step.image(), demand.getOrDefault(step.image(), 0L), step.maxPerWorker() > 0);
    }

    private JobOrder.SortKey sortKey(
            Job job,
            QueueConfig queue,
            long nowWallMillis,
            long nowMillis,
            boolean interrupted,
            Map<String, Long> demand) {
        long criticalPathMillis = job.spec().criticalPathMillis();
        long objectiveMillis =
                (long) (queue.slackFactor() * criticalPathMillis) + queue.objectiveMillis();
        long releaseWallMillis = job.submission.acceptedWallMillis();
        if (job.spec().timed()) {
            releaseWallMillis =
                    Math.max(releaseWallMillis, job.spec().newestDueWallMillis(nowWallMillis));
        }
        return new JobOrder.SortKey(
                queue.priority(),
                releaseWallMillis,
                objectiveMillis,
                remainingMillis(job, nowMillis),
                job.spec().longRunning(),
                interrupted,
                job.beyondShare,
                job.submission.acceptedWallMillis(),
                imageGroup(job, demand));
    }

    /**
     * Returns the summed estimates of the steps of the first occurrence that are not done, without
     * the time that they have been at work, at most the length of the job's critical path.
     */
    private static long remainingMillis(Job job, long nowMillis) {
        long remainingMillis = 0;
        for (Step step : job.steps(0)) {
            if (!step.done()) {
                remainingMillis += step.remainingMillis(nowMillis);
            }
        }
        return Math.min(remainingMillis, job.spec().criticalPathMillis());
    }

    private void placeJob(Pass pass, Job job, long nowWallMillis, long nowMillis) {
        for (int occurrence = 0; occurrence < job.spec().occurrenceCount(); occurrence++) {
            if (job.spec().dueWallMillis(occurrence) > nowWallMillis) {
                return;
            }
            for (Step step : job.steps(occurrence)) {
                if (!step.done() && job.dependenciesDone(step)) {
                    placeStep(pass, step, nowMillis);
                }
            }
        }
    }

    /**
     * Places the tasks of long-running jobs that have been running before, and keeps room free for
     * those that fit on no worker. Room is kept once all of them have been tried, since one that
     * fits must not wait for a larger one.
     */
    private void placeInterrupted(Pass pass, List<RankedJob> ranked, long nowMillis) {
        List<Step> steps = new ArrayList<>();
        for (RankedJob entry : ranked) {
            if (entry.sortKey().interrupted()) {
                for (Step step : entry.job().steps(0)) {
                    if (!step.spec.gang()) {
                        steps.add(step);
                    }
                }
            }
        }
        for (Step step : steps) {
            placeTasks(pass, step, task -> task.interrupted(nowMillis), nowMillis);
        }
        for (Step step : steps) {
            keepRoomFree(pass, step, nowMillis);
        }
    }

    private void keepRoomFree(Pass pass, Step step, long nowMillis) {
        if (step.spec.filler()) {
            return;
        }
        for (Task task : step.tasks) {
            if (task.interrupted(nowMillis)
                    && !pass.isDecided(task)
                    && task.notBeforeMillis <= nowMillis) {
                keepRoomFree(pass, task);
            }
        }
    }

    private void keepRoomFree(Pass pass, Task task) {
        QueueConfig queue = task.step.job.queue;
        if (queue != null && isWithinAccountLimit(pass, task)) {
            Placement.chooseToKeepFree(
                            demand(pass, task, queue, "", 0),
                            pass.candidates(),
                            candidate -> candidate.sameStepCount(task.step))
                    .ifPresent(candidate -> candidate.keepFree(task.step.spec));
        }
    }

    private void placeStep(Pass pass, Step step, long nowMillis) {
        if (step.spec.gang()) {
            placeGang(pass, step, nowMillis);
            return;
        }
        placeTasks(pass, step, Task::waiting, nowMillis);
    }

    private void placeTasks(Pass pass, Step step, Predicate<Task> filter, long nowMillis) {
        for (Task task : step.tasks) {
            if (filter.test(task) && !pass.isDecided(task) && task.notBeforeMillis <= nowMillis) {
                task.waitingSinceMillis = Math.min(task.waitingSinceMillis, nowMillis);
                Run run =
                        placeTask(
                                pass,
                                task,
                                task.lastAttempt + 1,
                                "",
                                waitedMillis(task, nowMillis));
                if (run == null) {
                    task.askedSinceMillis = Long.MAX_VALUE;
                    holdRoom(pass, task);
                    mWaitingTasks.add(task, nowMillis - task.waitingSinceMillis, filter);
                    if (keepsRoom(step)) {
                        step.roomTwiceSinceMillis =
                                isRoomTwice(pass, task)
                                        ? Math.min(step.roomTwiceSinceMillis, nowMillis)
                                        : Long.MAX_VALUE;
                    }
                    return;
                }
                if (mustAsk(run, nowMillis)) {
                    task.askedSinceMillis = Math.min(task.askedSinceMillis, nowMillis);
                    run.worker.ask();
                    pass.candidate(run.worker).keepFree(step.spec);
                    pass.mDecided.add(task);
                } else {
                    task.askedSinceMillis = Long.MAX_VALUE;
                    addRun(pass, run);
                }
            }
        }
    }

    /**
     * Returns whether a task that lasts and has been started before has to wait for an answer of
     * its worker. An order without an answer would keep the task away until all leases must have
     * lapsed there.
     */
    private static boolean mustAsk(Run run, long nowMillis) {
        Task task = run.task;
        return task.step.spec.longRunning()
                && task.lastAttempt > 0
                && !run.worker.isInContact(task.askedSinceMillis)
                && nowMillis - Math.min(nowMillis, task.askedSinceMillis) < MAX_ASK_MILLIS;
    }

    private static boolean keepsRoom(Step step) {
        return step.spec.longRunning() && !step.spec.filler();
    }

    /** Returns the time for which a task has been waiting, as {@link Demand} counts it. */
    private static long waitedMillis(Task task, long nowMillis) {
        long sinceMillis =
                keepsRoom(task.step) ? task.step.roomTwiceSinceMillis : task.waitingSinceMillis;
        return nowMillis - Math.min(nowMillis, sinceMillis);
    }

    /**
     * The workers that a task could start on.
     *
     * @param usableCount number of workers that accept new tasks
     * @param eligibleCount number of those that could run the task and have the room for it
     */
    record Room(int usableCount, int eligibleCount) {}

    /**
     * Returns a function that tells how many workers a waiting task could start on now, apart from
     * the room that the placement keeps or holds for other tasks. Nothing is decided.
     *
     * @param workers all workers
     * @param nowMillis monotonic time
     */
    Function<Task, Room> roomFinder(Collection<WorkerSession> workers, long nowMillis) {
        Pass pass = newPass(workers, nowMillis);
        return task -> room(pass, task);
    }

    private static Room room(Pass pass, Task task) {
        QueueConfig queue = task.step.job.queue;
        int eligibleCount =
                queue == null
                        ? 0
                        : Placement.eligibleCount(
                                demand(pass, task, queue, "", waitedMillis(task, pass.mNowMillis)),
                                pass.candidates(),
                                candidate -> candidate.sameStepCount(task.step));
        return new Room(pass.mUsableWorkers.size(), eligibleCount);
    }

    /** Holds room for a large task that fits on no worker, if the deployment asks for it. */
    private void holdRoom(Pass pass, Task task) {
        QueueConfig queue = task.step.job.queue;
        boolean inTime = task.step.job.tier == JobOrder.Tier.IN_TIME;
        if (!mOptions.looksAhead()
                || !inTime
                || queue == null
                || pass.mHoldCount >= MAX_HOLD_COUNT
                || !isWithinAccountLimit(pass, task)) {
            return;
        }
        WorkerSession held = task.heldOn;
        if (held != null && !pass.mUsableWorkers.contains(held)) {
            // The worker is lost or leaving, so the time does not speak against the estimates.
            task.heldOn = null;
            task.heldSinceMillis = Long.MAX_VALUE;
        }
        if (pass.mNowMillis - Math.min(pass.mNowMillis, task.heldSinceMillis) > MAX_HOLD_MILLIS) {
            return;
        }
        if (pass.mNowMillis - task.holdSearchedMillis >= HOLD_SEARCH_INTERVAL_MILLIS) {
            searchRoomToHold(pass, task, queue);
        }
        WorkerSession worker = task.heldOn;
        if (worker != null && !pass.candidate(worker).isHeld()) {
            pass.candidate(worker).hold(task.step.spec, task.heldFromMillis);
            pass.mHoldCount++;
        }
    }

    private void searchRoomToHold(Pass pass, Task task, QueueConfig queue) {
        task.holdSearchedMillis = pass.mNowMillis;
        task.heldOn = null;
        List<WorkerCandidate> notHeld =
                pass.candidates().stream().filter(candidate -> !candidate.isHeld()).toList();
        LookAhead.hold(
                        demand(pass, task, queue, "", 0),
                        notHeld,
                        candidate -> candidate.sameStepCount(task.step),
                        pass.mNowMillis)
                .ifPresent(
                        hold -> {
                            task.heldOn = hold.candidate().worker();
                            task.heldFromMillis = hold.atMillis();
                            noteHold(task, hold, pass.mNowMillis);
                        });
    }

    private void noteHold(Task task, LookAhead.Hold<WorkerCandidate> hold, long nowMillis) {
        if (task.heldSinceMillis == Long.MAX_VALUE) {
            task.heldSinceMillis = nowMillis;
            mMonitor.roomHeld();
            LogEvent.ROOM_HELD.log(
                    task.name,
                    task.step.spec.size(),
                    hold.candidate().entry().id(),
                    hold.atMillis() - nowMillis);
        }
    }

    private static boolean isRoomTwice(Pass pass, Task task) {
        QueueConfig queue = task.step.job.queue;
        return queue != null
                && task.step.spec.reservation().fitsIn(pass.largestRoom())
                && Placement.isRoomTwice(
                        demand(pass, task, queue, "", 0),
                        pass.candidates(),
                        candidate -> candidate.sameStepCount(task.step));
    }

    /** Places all tasks of a gang, or none. */
    private void placeGang(Pass pass, Step step, long nowMillis) {
        int attempt = 0;
        for (Task task : step.tasks) {
            if (!task.waiting() || task.notBeforeMillis > nowMillis) {
                return;
            }
            attempt = Math.max(attempt, task.lastAttempt + 1);
        }
        List<Run> members = placeMembers(pass, step, attempt);
        pass.mGangHoldsRoom = false;
        members.forEach(member -> releaseRoom(pass, member));
        if (members.size() == step.tasks.length) {
            members.forEach(member -> addRun(pass, member));
        }
    }

    /** Reserves room for the tasks of a gang, up to the first one that finds none. */
    private List<Run> placeMembers(Pass pass, Step step, int attempt) {
        List<Run> members = new ArrayList<>();
        for (Task task : step.tasks) {
            Run run = placeTask(pass, task, attempt, rackOf(members, step), 0);
            if (run == null) {
                break;
            }
            members.add(run);
            reserveRoom(pass, run);
            pass.mGangHoldsRoom = true;
        }
        return members;
    }

    private static void reserveRoom(Pass pass, Run run) {
        pass.candidate(run.worker).add(run);
        pass.mPlannedUsage.add(run.accountName(), run.task.step.spec.size());
    }

    private static void releaseRoom(Pass pass, Run run) {
        pass.candidate(run.worker).remove(run);
        pass.mPlannedUsage.remove(run.accountName(), run.task.step.spec.size());
    }

    private static String rackOf(List<Run> members, Step step) {
        return step.spec.sameRack() && !members.isEmpty()
                ? members.get(0).worker.entry().rack()
                : "";
    }

    private void addRun(Pass pass, Run run) {
        pass.mRuns.add(run);
        pass.mDecided.add(run.task);
        reserveRoom(pass, run);
        run.task.step.job.placed = true;
    }

    private @Nullable Run placeTask(
            Pass pass, Task task, int attempt, String rack, long waitedMillis) {
        Step step = task.step;
        QueueConfig queue = step.job.queue;
        if (queue == null || !isWithinAccountLimit(pass, task)) {
            return null;
        }
        Demand demand = demand(pass, task, queue, rack, waitedMillis);
        if (pass.isKnownUnplaceable(demand)) {
            return null;
        }
        pass.mLookedAtCount += pass.mUsableWorkers.size();
        Optional<WorkerCandidate> chosen =
                Placement.choose(
                        demand, pass.candidates(), candidate -> candidate.sameStepCount(step));
        if (chosen.isEmpty()) {
            pass.recordUnplaced(demand);
            return null;
        }
        return new Run(task, attempt, chosen.get().worker(), "");
    }

    /** Returns whether a task keeps its account within its limit; a task that moves does. */
    private boolean isWithinAccountLimit(Pass pass, Task task) {
        ClientAccount account = task.step.job.account;
        return account == null
                || task.run != null
                || mAccounts.admits(
                        account, pass.mPlannedUsage.running(account.name()), task.step.spec.size());
    }

    private static Demand demand(
            Pass pass, Task task, QueueConfig queue, String rack, long waitedMillis) {
        Step step = task.step;
        return new Demand(
                step.spec,
                queue.pool(),
                rack.isEmpty() ? rackFor(step) : rack,
                waitedMillis,
                task.failedOn,
                step.spec.longRunning() && task.interrupted(pass.mNowMillis));
    }

    /**
     * Returns whether another worker has room for a filler and the filler would interfere much less
     * with the serving tasks there.
     *
     * @param run the filler's run
     * @param workers all workers
     */
    boolean hasBetterPlacement(Run run, Collection<WorkerSession> workers) {
        long startNanos = System.nanoTime();
        boolean found = findsBetterPlacement(run, workers);
        mMonitor.moveSearched(System.nanoTime() - startNanos);
        return found;
    }

    private boolean findsBetterPlacement(Run run, Collection<WorkerSession> workers) {
        Pass pass = newPass(workers, run.worker.nowMillis());
        pass.mUsableWorkers.remove(run.worker);
        Run moved = placeTask(pass, run.task, run.attempt + 1, "", 0);
        if (moved == null) {
            return false;
        }
        List<Run> others = new ArrayList<>(run.worker.runs());
        others.remove(run);
        StepSpec spec = run.task.step.spec;
        return pass.candidate(moved.worker).neighbors().interference(spec)
                < WORTHWHILE_INTERFERENCE_SHARE
                        * mFillerController.neighbors(others).interference(spec);
    }

    /**
     * Returns whether a worker that is not suspected has room for the task of a slow run.
     *
     * @param run run on a slow worker
     * @param workers all workers
     */
    boolean hasHealthyPlacement(Run run, Collection<WorkerSession> workers) {
        long startNanos = System.nanoTime();
        Pass pass = newPass(workers, run.worker.nowMillis());
        pass.mUsableWorkers.remove(run.worker);
        Run moved = placeTask(pass, run.task, run.attempt + 1, "", 0);
        mMonitor.moveSearched(System.nanoTime() - startNanos);
        return moved != null && moved.worker.suspicion() == 0;
    }

    private static String rackFor(Step step) {
        if (!step.spec.dataRack().isEmpty()) {
            return step.spec.dataRack();
        }
        if (step.spec.sameRack()) {
            for (Task task : step.tasks) {
                Run run = task.run;
                if (run != null) {
                    return run.worker.entry().rack();
                }
            }
        }
        return "";
    }
}
