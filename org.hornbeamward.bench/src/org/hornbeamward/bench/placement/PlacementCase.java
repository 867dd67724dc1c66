package org.hornbeamward.bench.placement;

import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.bench.BenchCase;
import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.bench.fake.FakeCluster;
import org.hornbeamward.bench.fake.InterferenceTable;
import org.hornbeamward.bench.fake.RunFigures;
import org.hornbeamward.bench.fake.Workload;
import org.hornbeamward.command.Command;
import org.hornbeamward.schedule.policy.BestFitPolicy;
import org.hornbeamward.schedule.policy.InterferencePolicy;
import org.hornbeamward.schedule.policy.PlacementPolicy;

/**
 * Compares placement policies with the same interference coefficients, load and jobs over two
 * virtual hours, including the time in which a policy learns. One worker starts to fail all its
 * tasks at a time in the second quarter of the run.
 */
public final class PlacementCase implements BenchCase {
    private static final int RUN_SECONDS = 7200;
    private static final long TICK_NANOS = 1_000_000_000L;

    /**
     * Services hold a larger share of the processors in Imbaraga; Confirmare runs mostly batch
     * work.
     */
    private static final double IMBARAGA_SERVICE_SHARE = 0.3;

    private static final double CONFIRMARE_SERVICE_SHARE = 0.2;

    /** Creates the case. */
    public PlacementCase() {}

    @Override
    public String name() {
        return "placement";
    }

    @Override
    public SortedMap<String, Double> run(String deploymentName, long seed) {
        Deployment deployment = Deployment.named(deploymentName);
        SortedMap<String, Double> figures = new TreeMap<>();
        report(figures, deployment, "baseline", run(deployment, seed, new BestFitPolicy()));
        report(figures, deployment, "product", run(deployment, seed, new InterferencePolicy()));
        InterferenceTable table = new InterferenceTable(deployment, seed);
        PlacementPolicy bound = new InterferencePolicy(table::coefficient);
        report(figures, deployment, "bound", run(deployment, seed, bound));
        for (String policy : List.of("product", "bound")) {
            compare(figures, policy, ".p99LatencyPerPeriodRatio", ".p99OverBaselineRatio");
            compare(figures, policy, ".batchCoreHours", ".batchOverBaselineRatio");
        }
        return figures;
    }

    private static void compare(
            SortedMap<String, Double> figures, String policy, String key, String ratioKey) {
        double value = Objects.requireNonNull(figures.get(policy + key));
        double baseline = Objects.requireNonNull(figures.get("baseline" + key));
        figures.put(policy + ratioKey, value / baseline);
    }

    private static RunFigures run(Deployment deployment, long seed, PlacementPolicy policy) {
        FakeCluster cluster = new FakeCluster(deployment, seed, policy, TICK_NANOS);
        boolean imbaraga = deployment.equals(Deployment.IMBARAGA);
        Workload workload =
                new Workload(
                        deployment,
                        seed,
                        RUN_SECONDS,
                        imbaraga ? IMBARAGA_SERVICE_SHARE : CONFIRMARE_SERVICE_SHARE,
                        true);
        Workload.setUp(cluster, deployment, Workload.TEAM_COUNT);
        int failsAt = RUN_SECONDS / 4 + (int) Math.floorMod(seed * 7919, RUN_SECONDS / 4);
        for (int second = 0; second < RUN_SECONDS; second++) {
            for (Command command : workload.due(second)) {
                cluster.append(command);
            }
            if (second == failsAt) {
                cluster.failWorker((int) Math.floorMod(seed * 31, deployment.workerCount()));
            }
            cluster.tick();
        }
        return cluster.figures();
    }

    private static void report(
            SortedMap<String, Double> figures,
            Deployment deployment,
            String policy,
            RunFigures run) {
        double allCoreSeconds = deployment.cores() * deployment.workerCount() * RUN_SECONDS;
        figures.put(policy + ".committedCpuRatio", run.mCommittedCoreSeconds / allCoreSeconds);
        figures.put(policy + ".p99LatencyPerPeriodRatio", run.p99Ratio());
        figures.put(policy + ".batchCoreHours", run.mFinishedCoreSeconds / 3600);
        figures.put(policy + ".lostCoreHours", run.mLostCoreSeconds / 3600);
        figures.put(policy + ".evictionCount", (double) run.mEvictionCount);
        figures.put(policy + ".unhelpfulEvictionRatio", run.unhelpfulRatio());
        figures.put(policy + ".failureCount", (double) run.mFailureCount);
        figures.put(policy + ".startCount", (double) run.mStartCount);
        figures.put(policy + ".rejectedCommandCount", (double) run.mRejectedCount);
        figures.put(policy + ".serviceDownTaskSeconds", run.mServiceDownSeconds);
        figures.put(
                policy + ".urgentStartP99Millis",
                (double) run.mUrgentStartMillis.getValueAtPercentile(99));
        double total = Math.max(1, run.mFinishedCoreSeconds);
        double least = run.mFinishedByClass.values().stream().mapToDouble(v -> v).min().orElse(0);
        figures.put(policy + ".leastFinishedClassRatio", least / total);
        double leastTeam =
                run.mFinishedByTeam.values().stream().mapToDouble(v -> v).min().orElse(0);
        figures.put(policy + ".leastFinishedTeamRatio", leastTeam / total);
    }
}
