package org.hornbeamward.bench.recovery;

import java.util.Comparator;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.SortedMap;
import org.hornbeamward.bench.fake.Deployment;

/**
 * Kills the decider, and in a second run a supervisor, while a backlog of short tasks is pending.
 */
final class MemberDeath {
    private static final long LIMIT_MILLIS = 30_000;

    private final Deployment mDeployment;
    private final long mSeed;
    private final SortedMap<String, Double> mFigures;

    MemberDeath(Deployment deployment, long seed, SortedMap<String, Double> figures) {
        mDeployment = deployment;
        mSeed = seed;
        mFigures = figures;
    }

    void run() {
        kill("decider");
        kill("supervisor");
    }

    private void kill(String role) {
        RecoveryScenario scenario = new RecoveryScenario(mDeployment, mSeed);
        VirtualCluster cluster = scenario.mCluster;
        scenario.submitLongTasks();
        scenario.runFor(RecoveryScenario.SECOND);
        scenario.submitBacklog();
        scenario.runFor(20 * RecoveryScenario.SECOND);
        if (role.equals("decider")) {
            addLogUse(scenario);
        }
        VirtualMember victim = role.equals("decider") ? cluster.decider() : supervisor(cluster);
        List<VirtualWorker> workers =
                scenario.busyWorkers().stream()
                        .filter(worker -> victim.mSupervisor.wantedLinks().containsKey(worker.id()))
                        .toList();
        long deathMillis = cluster.time().nowMillis();
        victim.mDead = true;
        scenario.runFor(30 * RecoveryScenario.SECOND);
        LongSummaryStatistics starts =
                workers.stream()
                        // A start that was in flight when the member was killed is not a new
                        // placement.
                        .mapToLong(
                                worker ->
                                        RecoveryScenario.firstStartMillis(
                                                        worker, deathMillis + 1, LIMIT_MILLIS)
                                                + 1)
                        .summaryStatistics();
        String prefix = "memberDeath." + role + ".";
        mFigures.put(prefix + "busyWorkerCount", (double) workers.size());
        mFigures.put(
                prefix + "nextDecisionMillis",
                (double)
                        (LogReplay.nextPlacementMillis(cluster.log(), victim.id(), deathMillis)
                                - deathMillis));
        mFigures.put(prefix + "firstPlacementMillis", (double) starts.getMin());
        mFigures.put(prefix + "lastWorkerPlacementMillis", (double) starts.getMax());
        mFigures.put(
                prefix + "leaseLapseCount",
                (double) new RunHistory(cluster).leaseLapseCount(deathMillis));
        scenario.addFaultCounts(prefix, mFigures);
    }

    private static VirtualMember supervisor(VirtualCluster cluster) {
        return cluster.liveMembers().stream()
                .filter(member -> !member.decides())
                .max(Comparator.comparingInt(m -> m.mSupervisor.wantedLinks().size()))
                .orElseThrow();
    }

    private void addLogUse(RecoveryScenario scenario) {
        VirtualCluster cluster = scenario.mCluster;
        long bytes = cluster.log().byteCount();
        int records = cluster.log().size();
        int starts = new RunHistory(cluster).startCount();
        scenario.runFor(20 * RecoveryScenario.SECOND);
        double started = new RunHistory(cluster).startCount() - starts;
        mFigures.put("log.startCount", started);
        mFigures.put("log.bytesPerStart", (cluster.log().byteCount() - bytes) / started);
        mFigures.put("log.recordsPerStart", (cluster.log().size() - records) / started);
    }
}
