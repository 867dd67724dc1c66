package org.hornbeamward.bench.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TeamId;

/**
 * Commands that clients submit during a run. They are drawn in advance, so that every policy gets
 * the same commands.
 *
 * <p>Services hold a fixed share of the processors. Batch jobs arrive faster than the remaining
 * processors could run them even without interference, so every policy has pending work. Job sizes
 * vary widely: 1 to 12 tasks of 1, 2 or 4 cores with a run time of a few minutes.
 */
public final class Workload {
    /** Teams that submit batch jobs. */
    public static final int TEAM_COUNT = 6;

    /**
     * Offered batch work over the capacity without interference of the processors that services
     * leave free.
     */
    private static final double OFFERED_SHARE = 1.2;

    private static final double MEDIAN_RUN_SECONDS = 240;
    private static final double RUN_SIGMA = 0.6;
    private static final int MAX_TASK_COUNT = 12;
    private static final double URGENT_SHARE = 0.03;
    private static final double CHECKPOINTABLE_SHARE = 0.7;

    /**
     * Mean core seconds of a job: 6.5 tasks of 7/3 cores, times the median run time and the means
     * of the log-normal factors of declared (sigma 0.6) and actual (sigma 0.7) run time.
     */
    private static final double MEAN_JOB_CORE_SECONDS =
            6.5 * 7 / 3 * MEDIAN_RUN_SECONDS * Math.exp(0.5 * (RUN_SIGMA * RUN_SIGMA + 0.49));

    private final TreeMap<Long, List<Command>> mCommands = new TreeMap<>();
    private final SplittableRandom mRandom;
    private final Deployment mDeployment;
    private int mJobCount;

    /**
     * Draws a workload.
     *
     * @param deployment size of the cluster
     * @param seed seed of the draws
     * @param seconds length of the run
     * @param serviceShare share of the processors that services hold
     * @param cancellationBursts whether to add two bursts of cancellations
     */
    public Workload(
            Deployment deployment,
            long seed,
            int seconds,
            double serviceShare,
            boolean cancellationBursts) {
        mDeployment = deployment;
        mRandom = new SplittableRandom(seed * 31 + 4);
        double cores = deployment.cores() * deployment.workerCount();
        services(cores * serviceShare);
        double jobsPerSecond = OFFERED_SHARE * cores * (1 - serviceShare) / MEAN_JOB_CORE_SECONDS;
        int initialCount = (int) (cores * (1 - serviceShare) / (6.5 * 7 / 3) * 1.5);
        List<JobId> recent = new ArrayList<>();
        for (int i = 0; i < initialCount; i++) {
            recent.add(batchJob(30));
        }
        double at = 30;
        double nextBurstSeconds = seconds * (0.2 + 0.2 * mRandom.nextDouble());
        while (at < seconds) {
            at += Distributions.exponential(mRandom, 1 / jobsPerSecond);
            recent.add(batchJob((long) at));
            if (cancellationBursts && at > nextBurstSeconds) {
                cancelFifth(recent, (long) at);
                nextBurstSeconds += seconds * 0.4;
            }
        }
    }

    private void services(double cores) {
        int count = mDeployment.serviceClasses().size();
        long taskMillicores = mDeployment.capacity().cpuMillicores() / 8;
        Resources size = new Resources(taskMillicores, mDeployment.capacity().memoryMib() / 15, 0);
        int taskCount = (int) Math.round(cores * 1000 / count / taskMillicores);
        for (String name : mDeployment.serviceClasses()) {
            JobSpec job =
                    new JobSpec(
                            new JobId("service-" + name),
                            new TeamId("services"),
                            name,
                            JobKind.SERVICE,
                            taskCount,
                            size,
                            false,
                            false,
                            0,
                            200);
            add(2, job);
        }
    }

    private JobId batchJob(long second) {
        List<String> classes = mDeployment.batchClasses();
        String className = classes.get(mRandom.nextInt(classes.size()));
        long cores = 1L << mRandom.nextInt(3);
        long memoryMib = (long) (cores * 1024 * (1 + 3 * mRandom.nextDouble()));
        boolean urgent = mRandom.nextDouble() < URGENT_SHARE;
        int taskCount = mRandom.nextInt(1, MAX_TASK_COUNT + 1);
        JobSpec job =
                new JobSpec(
                        new JobId(String.format("job-%05d", mJobCount++)),
                        new TeamId("team-" + mRandom.nextInt(TEAM_COUNT)),
                        className,
                        JobKind.BATCH,
                        urgent ? 1 + taskCount % 2 : taskCount,
                        new Resources(cores * 1000, memoryMib, 0),
                        urgent,
                        mRandom.nextDouble() < CHECKPOINTABLE_SHARE,
                        (long)
                                (1000
                                        * MEDIAN_RUN_SECONDS
                                        * Distributions.logNormal(mRandom, RUN_SIGMA)),
                        0);
        add(second, job);
        return job.id();
    }

    /** Cancels a fifth of the last 100 jobs at once. */
    private void cancelFifth(List<JobId> recent, long second) {
        for (int i = Math.max(0, recent.size() - 100); i < recent.size(); i += 5) {
            String id = "cancel-" + recent.get(i);
            at(second).add(new CancelJob(id, recent.get(i)));
        }
    }

    private void add(long second, JobSpec job) {
        at(second).add(new SubmitJob("submit-" + job.id(), job));
    }

    private List<Command> at(long second) {
        return mCommands.computeIfAbsent(second, unused -> new ArrayList<>());
    }

    /**
     * Removes the commands that are due and returns them.
     *
     * @param second virtual second
     * @return commands in submission order
     */
    public List<Command> due(long second) {
        List<Command> due = new ArrayList<>();
        while (!mCommands.isEmpty() && mCommands.firstKey() <= second) {
            due.addAll(mCommands.pollFirstEntry().getValue());
        }
        return due;
    }

    /**
     * Appends the configuration, three jobs that fit on no worker, and the registrations of
     * workers.
     *
     * @param cluster a new cluster
     * @param teamCount batch teams; each may hold half of the cluster
     */
    public static void setUp(FakeCluster cluster, Deployment deployment, int teamCount) {
        TreeMap<String, String> entries = new TreeMap<>();
        Resources all =
                deployment
                        .capacity()
                        .times(deployment.workerCount())
                        .plus(new Resources(0, 0, deployment.acceleratorCount()));
        entries.put("team/services", team(1, all));
        Resources half =
                new Resources(
                        all.cpuMillicores() / 2,
                        all.memoryMib() / 2,
                        (all.acceleratorCount() + 1) / 2);
        for (int i = 0; i < teamCount; i++) {
            entries.put("team/team-" + i, team(1, half));
        }
        cluster.append(new PublishConfig("config-1", 0, entries));
        // A job that is larger than the largest worker is accepted only before any worker
        // registers.
        for (int i = 0; i < 3; i++) {
            JobSpec job =
                    new JobSpec(
                            new JobId("too-large-" + i),
                            new TeamId("team-0"),
                            deployment.batchClasses().get(0),
                            JobKind.BATCH,
                            2,
                            deployment.capacity().times(2),
                            false,
                            true,
                            60_000,
                            0);
            cluster.append(new SubmitJob("submit-" + job.id(), job));
        }
        cluster.registerWorkers();
    }

    private static String team(int weight, Resources quota) {
        return String.format(
                "{\"weight\":%d,\"quota\":{\"cpuMillicores\":%d,\"memoryMib\":%d,"
                        + "\"acceleratorCount\":%d}}",
                weight, quota.cpuMillicores(), quota.memoryMib(), quota.acceleratorCount());
    }
}
