package org.hornbeamward.bench.recovery;

import java.util.HashSet;
import java.util.Set;
import java.util.SortedMap;
import org.hornbeamward.bench.fake.Deployment;

/** Takes the log down while all members and workers keep running. */
final class LogOutage {
    private static final long LIMIT_MILLIS = 60_000;

    private final Deployment mDeployment;
    private final long mSeed;
    private final SortedMap<String, Double> mFigures;

    LogOutage(Deployment deployment, long seed, SortedMap<String, Double> figures) {
        mDeployment = deployment;
        mSeed = seed;
        mFigures = figures;
    }

    void run() {
        outage(60);
        outage(600);
    }

    private void outage(long seconds) {
        RecoveryScenario scenario = new RecoveryScenario(mDeployment, mSeed);
        VirtualCluster cluster = scenario.mCluster;
        scenario.submitLongTasks();
        scenario.runFor(20 * RecoveryScenario.SECOND);
        Set<Long> before = runningTokens(cluster);
        cluster.log().mAvailable = false;
        scenario.runFor((seconds - 1) * RecoveryScenario.SECOND);
        scenario.submitBacklog();
        scenario.runFor(RecoveryScenario.SECOND);
        cluster.log().mAvailable = true;
        long sinceMillis = cluster.time().nowMillis();
        scenario.runFor(60 * RecoveryScenario.SECOND);
        Set<Long> after = runningTokens(cluster);
        after.retainAll(before);
        String prefix = "logOutage." + seconds + "s.";
        mFigures.put(prefix + "runningTaskCount", (double) before.size());
        mFigures.put(prefix + "survivingTaskCount", (double) after.size());
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
                prefix + "removedMemberCount",
                (double)
                        cluster.members().stream()
                                .filter(member -> !member.mMonitor.member())
                                .count());
        scenario.addFaultCounts(prefix, mFigures);
    }

    private static Set<Long> runningTokens(VirtualCluster cluster) {
        Set<Long> tokens = new HashSet<>();
        cluster.workers().forEach(worker -> tokens.addAll(worker.mAgent.runningTokens()));
        return tokens;
    }
}
