package org.hornbeamward.bench.recovery;

import java.util.List;
import java.util.SortedMap;
import org.hornbeamward.bench.fake.Deployment;

/** Kills all members at once and restarts them 1 s later, with the log available or down. */
final class TotalRestart {
    private static final long LIMIT = 90 * RecoveryScenario.SECOND;
    private static final long LIMIT_MILLIS = 90_000;

    private final Deployment mDeployment;
    private final long mSeed;
    private final SortedMap<String, Double> mFigures;

    TotalRestart(Deployment deployment, long seed, SortedMap<String, Double> figures) {
        mDeployment = deployment;
        mSeed = seed;
        mFigures = figures;
    }

    void run() {
        restart("logUp", 0);
        restart("logDown60s", 60 * RecoveryScenario.SECOND);
    }

    private void restart(String variant, long outageNanos) {
        RecoveryScenario scenario = new RecoveryScenario(mDeployment, mSeed);
        VirtualCluster cluster = scenario.mCluster;
        scenario.submitLongTasks();
        scenario.runFor(RecoveryScenario.SECOND);
        scenario.submitBacklog();
        scenario.runFor(20 * RecoveryScenario.SECOND);
        List<VirtualWorker> workers = scenario.busyWorkers();
        long deathMillis = cluster.time().nowMillis();
        cluster.log().mAvailable = outageNanos == 0;
        cluster.members().forEach(member -> member.mDead = true);
        scenario.runFor(RecoveryScenario.SECOND);
        cluster.restartMembers();
        scenario.runFor(outageNanos);
        cluster.log().mAvailable = true;
        long sinceMillis = cluster.time().nowMillis();
        long active =
                scenario.millisUntil(
                        () -> cluster.members().stream().allMatch(VirtualMember::active), LIMIT);
        scenario.runFor(LIMIT);
        String prefix = "totalRestart." + variant + ".";
        mFigures.put(prefix + "allActiveMillis", (double) active);
        mFigures.put(
                prefix + "firstPlacementMillis",
                (double)
                        cluster.workers().stream()
                                .mapToLong(
                                        w ->
                                                RecoveryScenario.firstStartMillis(
                                                        w, sinceMillis, LIMIT_MILLIS))
                                .min()
                                .orElse(LIMIT_MILLIS));
        mFigures.put(
                prefix + "lastWorkerPlacementMillis",
                (double) RecoveryScenario.lastStartMillis(workers, sinceMillis, LIMIT_MILLIS));
        mFigures.put(
                prefix + "leaseLapseCount",
                (double) new RunHistory(cluster).leaseLapseCount(deathMillis));
        scenario.addFaultCounts(prefix, mFigures);
    }
}
