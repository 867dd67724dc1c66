package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.decide.Placement;
import org.hornbeamward.dispatch.decide.Placement.Demand;
import org.hornbeamward.dispatch.decide.WorkOrder;
import org.hornbeamward.dispatch.decide.WorkOrder.Companions;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.lib.FailureDomainId;
import org.jspecify.annotations.Nullable;

/** Walks through the waiting tasks in the order of work and places them. */
final class Scheduler {
    /** Time without a further lasting job after which those that wait are placed together. */
    private static final long SETTLED_MILLIS = 200;

    /** Longest time that a lasting job waits for others; it earns in units of two seconds. */
    private static final long SETTLE_LIMIT_MILLIS = 600;

    /** Share of the present pressure below which a move is worth its cost. */
    private static final double WORTHWHILE_SHARE = 0.4;

    private final JobTable mJobs;
    private final Sharing mSharing;
    private Set<FailureDomainId> mDomainsOut = Set.of();
    private @Nullable ClusterConfig mConfig;

    Scheduler(JobTable jobs, Sharing sharing) {
        mJobs = jobs;
        mSharing = sharing;
    }

    void configure(ClusterConfig config) {
        mConfig = config;
    }

    void takeOut(Set<FailureDomainId> domains) {
        mDomainsOut = Set.copyOf(domains);
    }

    /** Returns whether nothing is started in a failure domain. */
    boolean isOut(FailureDomainId domain) {
        return mDomainsOut.contains(domain);
    }

    /** A job with its place in the order of work. */
    private record Ranked(Job job, WorkOrder.Claim claim) {}

    /** One pass: what it may use and what it has found out. */
    private final class Pass {
        private final List<WorkerSession> mUsable = new ArrayList<>();
        private final List<Run> mRuns = new ArrayList<>();
        private final Map<WorkerSession, Reservation> mReserved = new HashMap<>();
        private final Map<Demand.Kind, List<Demand>> mUnplaced = new HashMap<>();

        private Reservation reservation(WorkerSession worker) {
            return mReserved.computeIfAbsent(worker, key -> new Reservation(key, mSharing));
        }

        /** Returns whether something that needs no more has found no worker in this pass. */
        private boolean isHopeless(Demand demand) {
            for (Demand unplaced : mUnplaced.getOrDefault(demand.kind(), List.of())) {
                if (unplaced.step().size().fitsIn(demand.step().size())
                        && unplaced.waitedMillis() >= demand.waitedMillis()) {
                    return true;
                }
            }
            return false;
        }

        private void unplaced(Demand demand) {
            if (demand.isUnrestricted()) {
                mUnplaced.computeIfAbsent(demand.kind(), key -> new ArrayList<>()).add(demand);
            }
        }
    }

    /**
     * Decides which tasks start where. The runs are not attached to their workers yet.
     *
     * @param workers all workers
     * @param loop clocks
     * @return the decisions
     */
    List<Run> place(Collection<WorkerSession> workers, Loop loop) {
        ClusterConfig config = mConfig;
        if (config == null) {
            return List.of();
        }
        long nowWallMillis = loop.wallMillis();
        List<Ranked> ranked = rank(nowWallMillis);
        if (ranked.isEmpty()) {
            return List.of();
        }
        Pass pass = pass(workers);
        boolean settling = isSettling(ranked, loop.nowMillis());
        for (Ranked entry : ranked) {
            if (!settling || !entry.job().isNewAndLasting()) {
                placeJob(pass, entry.job(), nowWallMillis, loop.nowMillis());
            }
        }
        return pass.mRuns;
    }

    /** Returns whether further lasting jobs can be expected that should be placed with these. */
    private static boolean isSettling(List<Ranked> ranked, long nowMillis) {
        long oldestMillis = Long.MAX_VALUE;
        long newestMillis = Long.MIN_VALUE;
        for (Ranked entry : ranked) {
            if (entry.job().isNewAndLasting()) {
                oldestMillis = Math.min(oldestMillis, entry.job().knownMillis);
                newestMillis = Math.max(newestMillis, entry.job().knownMillis);
            }
        }
        return newestMillis > Long.MIN_VALUE
                && nowMillis - newestMillis < SETTLED_MILLIS
                && nowMillis - oldestMillis < SETTLE_LIMIT_MILLIS;
    }

    private Pass pass(Collection<WorkerSession> workers) {
        Pass pass = new Pass();
        for (WorkerSession worker : workers) {
            if (worker.usable() && !mDomainsOut.contains(worker.entry().domain())) {
                pass.mUsable.add(worker);
            }
        }
        return pass;
    }

    private List<Ranked> rank(long nowWallMillis) {
        List<Ranked> ranked = new ArrayList<>();
        Map<String, Long> demand = waitingLastingDemand();
        for (Job job : mJobs.active()) {
            QueueConfig queue = job.queue;
            if (job.terminal() || queue == null) {
                continue;
            }
            ranked.add(new Ranked(job, claim(job, queue, nowWallMillis, demand)));
        }
        Comparator<WorkOrder.Claim> order = WorkOrder.at(nowWallMillis);
        ranked.sort((left, right) -> order.compare(left.claim(), right.claim()));
        return ranked;
    }

    /** Returns the millicores that lasting jobs without any run reserve, by image. */
    private Map<String, Long> waitingLastingDemand() {
        Map<String, Long> demand = new HashMap<>();
        for (Job job : mJobs.active()) {
            if (job.isNewAndLasting()) {
                for (StepSpec step : job.spec().steps()) {
                    long millicores = step.taskCount() * step.size().cpuMillicores();
                    demand.merge(step.image(), millicores, Long::sum);
                }
            }
        }
        return demand;
    }

    private static Companions companions(Job job, Map<String, Long> demand) {
        if (!job.isNewAndLasting()) {
            return Companions.NONE;
        }
        StepSpec step = job.spec().steps().get(0);
        return new Companions(
                step.image(), demand.getOrDefault(step.image(), 0L), step.maxPerWorker() > 0);
    }

    private WorkOrder.Claim claim(
            Job job, QueueConfig queue, long nowWallMillis, Map<String, Long> demand) {
        long chainMillis = job.spec().chainMillis();
        long objectiveMillis = (long) (queue.slackFactor() * chainMillis) + queue.objectiveMillis();
        long begunWallMillis = job.submission.acceptedWallMillis();
        if (job.spec().timed()) {
            begunWallMillis = Math.max(begunWallMillis, job.spec().firstDueWallMillis());
            while (begunWallMillis + job.spec().intervalMillis() < nowWallMillis
                    && job.spec().intervalMillis() > 0) {
                begunWallMillis += job.spec().intervalMillis();
            }
        }
        return new WorkOrder.Claim(
                queue.priority(),
                begunWallMillis,
                objectiveMillis,
                remainingMillis(job),
                job.spec().longRunning(),
                job.submission.acceptedWallMillis(),
                companions(job, demand));
    }

    /** Returns the estimates of the steps that are not done, as if they followed one another. */
    private long remainingMillis(Job job) {
        long remainingMillis = 0;
        for (Step step : job.steps(0)) {
            if (!step.done()) {
                remainingMillis += step.spec.estimateMillis();
            }
        }
        return Math.min(remainingMillis, job.spec().chainMillis());
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

    private void placeStep(Pass pass, Step step, long nowMillis) {
        if (step.spec.gang()) {
            placeGang(pass, step, nowMillis);
            return;
        }
        for (Task task : step.tasks) {
            if (task.waiting() && task.notBeforeMillis <= nowMillis) {
                task.waitingSinceMillis = Math.min(task.waitingSinceMillis, nowMillis);
                long waitedMillis = nowMillis - task.waitingSinceMillis;
                Run run = placeTask(pass, task, task.lastAttempt + 1, "", waitedMillis);
                if (run == null) {
                    return;
                }
                accept(pass, run);
            }
        }
    }

    /** Places all members of a gang, or none. */
    private void placeGang(Pass pass, Step step, long nowMillis) {
        int attempt = 0;
        for (Task task : step.tasks) {
            if (!task.waiting() || task.notBeforeMillis > nowMillis) {
                return;
            }
            attempt = Math.max(attempt, task.lastAttempt + 1);
        }
        List<Run> members = new ArrayList<>();
        for (Task task : step.tasks) {
            Run run = placeTask(pass, task, attempt, rackOf(members, step), 0);
            if (run == null) {
                members.forEach(member -> pass.reservation(member.worker).remove(member));
                return;
            }
            members.add(run);
            pass.reservation(run.worker).add(run);
        }
        for (Run run : members) {
            pass.reservation(run.worker).remove(run);
            accept(pass, run);
        }
    }

    private static String rackOf(List<Run> members, Step step) {
        return step.spec.sameRack() && !members.isEmpty()
                ? members.get(0).worker.entry().rack()
                : "";
    }

    private void accept(Pass pass, Run run) {
        pass.mRuns.add(run);
        pass.reservation(run.worker).add(run);
        Job job = run.task.step.job;
        if (job.phase == JobPhase.QUEUED) {
            job.phase = JobPhase.RUNNING;
        }
    }

    private @Nullable Run placeTask(
            Pass pass, Task task, int attempt, String rack, long waitedMillis) {
        Step step = task.step;
        QueueConfig queue = step.job.queue;
        if (queue == null) {
            return null;
        }
        Demand demand =
                new Demand(
                        step.spec,
                        queue.pool(),
                        rack.isEmpty() ? rackFor(step) : rack,
                        waitedMillis,
                        task.failedOn);
        if (pass.isHopeless(demand)) {
            return null;
        }
        List<Reservation> candidates = new ArrayList<>(pass.mUsable.size());
        for (WorkerSession worker : pass.mUsable) {
            candidates.add(pass.reservation(worker));
        }
        Optional<Reservation> chosen =
                Placement.choose(demand, candidates, candidate -> candidate.sameStepCount(step));
        if (chosen.isEmpty()) {
            pass.unplaced(demand);
            return null;
        }
        return new Run(task, attempt, chosen.get().worker(), "");
    }

    /**
     * Returns whether a filler would disturb less on another worker that has room for it.
     *
     * @param run the filler's run
     * @param workers all workers
     */
    boolean hasBetterPlace(Run run, Collection<WorkerSession> workers) {
        Pass pass = pass(workers);
        pass.mUsable.remove(run.worker);
        Run moved = placeTask(pass, run.task, run.attempt + 1, "", 0);
        if (moved == null) {
            return false;
        }
        List<Run> others = new ArrayList<>(run.worker.runs());
        others.remove(run);
        StepSpec spec = run.task.step.spec;
        return pass.reservation(moved.worker).neighbors().pressure(spec)
                < WORTHWHILE_SHARE * mSharing.neighbors(others).pressure(spec);
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
