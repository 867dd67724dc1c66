package org.hornbeamward.bench.domain;

import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.bench.BenchCase;
import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.bench.fake.FakeCluster;
import org.hornbeamward.bench.fake.Workload;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.schedule.policy.BestFitPolicy;
import org.hornbeamward.schedule.policy.InterferencePolicy;
import org.hornbeamward.schedule.policy.PlacementPolicy;

/**
 * Takes a failure domain out after 20 minutes with 2 minutes of notice, brings it back 20 minutes
 * later, and measures until 10 minutes after that. The work that the remaining capacity allows is
 * the work of a run with the same seed and without the take-out, times the share of the processors
 * for batch work that remains.
 */
public final class DomainCase implements BenchCase {
    private static final long TICK_NANOS = 500_000_000L;
    private static final int TICKS_PER_SECOND = 2;
    private static final int OUT_SECOND = 1200;
    private static final int BACK_SECOND = 2400;
    private static final int END_SECOND = 3000;
    private static final long NOTICE_MILLIS = 120_000;
    private static final double SERVICE_SHARE = 0.25;
    private static final FailureDomainId DOMAIN = new FailureDomainId("domain-1");

    private record Run(
            double workOut, double workBack, double lastStartSeconds, double serviceDownSeconds) {}

    /** Creates the case. */
    public DomainCase() {}

    @Override
    public String name() {
        return "domain";
    }

    @Override
    public SortedMap<String, Double> run(String deploymentName, long seed) {
        Deployment deployment = Deployment.named(deploymentName);
        SortedMap<String, Double> figures = new TreeMap<>();
        report(
                figures,
                "baseline",
                deployment,
                run(deployment, seed, new BestFitPolicy(), false),
                run(deployment, seed, new BestFitPolicy(), true));
        report(
                figures,
                "product",
                deployment,
                run(deployment, seed, new InterferencePolicy(), false),
                run(deployment, seed, new InterferencePolicy(), true));
        return figures;
    }

    private static void report(
            SortedMap<String, Double> figures,
            String policy,
            Deployment deployment,
            Run undisturbed,
            Run moved) {
        double remaining = 1 - 1.0 / deployment.domainCount();
        double batchShare = (remaining - SERVICE_SHARE) / (1 - SERVICE_SHARE);
        double allowed = undisturbed.workOut() * batchShare + undisturbed.workBack();
        double done = moved.workOut() + moved.workBack();
        figures.put(policy + ".workOverAllowedRatio", done / allowed);
        figures.put(policy + ".lastStartAfterTakeOutSeconds", moved.lastStartSeconds());
        figures.put(
                policy + ".serviceDownTaskSeconds",
                moved.serviceDownSeconds() - undisturbed.serviceDownSeconds());
    }

    private static Run run(Deployment deployment, long seed, PlacementPolicy policy, boolean move) {
        FakeCluster cluster = new FakeCluster(deployment, seed, policy, TICK_NANOS);
        Workload workload = new Workload(deployment, seed, END_SECOND, SERVICE_SHARE, false);
        Workload.setUp(cluster, deployment, Workload.TEAM_COUNT);
        double atOut = 0;
        double atBack = 0;
        double lastStartSeconds = 0;
        for (int second = 0; second < END_SECOND; second++) {
            for (Command command : workload.due(second)) {
                cluster.append(command);
            }
            if (second == OUT_SECOND) {
                atOut = cluster.batchCoreSeconds();
                if (move) {
                    cluster.append(new TakeOutDomain("out-1", DOMAIN, 0, NOTICE_MILLIS, false));
                }
            }
            if (second == BACK_SECOND) {
                atBack = cluster.batchCoreSeconds();
                if (move) {
                    lastStartSeconds = lastStartSeconds(cluster);
                    long version = cluster.state().domains().status(DOMAIN).version();
                    cluster.append(new BringBackDomain("back-1", DOMAIN, version));
                }
            }
            for (int tick = 0; tick < TICKS_PER_SECOND; tick++) {
                cluster.tick();
            }
        }
        return new Run(
                atBack - atOut,
                cluster.batchCoreSeconds() - atBack,
                lastStartSeconds,
                cluster.figures().mServiceDownSeconds);
    }

    /** Returns the seconds from the take-out to the last start of a task in the failure domain. */
    private static double lastStartSeconds(FakeCluster cluster) {
        Long lastNanos = cluster.figures().mLastStartNanos.get(DOMAIN);
        double last = lastNanos == null ? 0 : lastNanos / 1e9;
        return Math.max(0, last - OUT_SECOND);
    }
}
