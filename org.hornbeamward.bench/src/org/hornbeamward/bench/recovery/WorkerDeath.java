package org.hornbeamward.bench.recovery;

import java.util.Comparator;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.SortedMap;
import org.hornbeamward.bench.fake.Deployment;

/**
 * Kills the worker with the most long tasks, alone and together with its supervisor. The links of
 * the worker stay open, but carry no further messages.
 */
final class WorkerDeath {
    private final Deployment mDeployment;
    private final long mSeed;
    private final SortedMap<String, Double> mFigures;

    WorkerDeath(Deployment deployment, long seed, SortedMap<String, Double> figures) {
        mDeployment = deployment;
        mSeed = seed;
        mFigures = figures;
    }

    void run() {
        kill("workerDeath.", false);
        kill("workerAndSupervisorDeath.", true);
    }

    private void kill(String prefix, boolean withSupervisor) {
        RecoveryScenario scenario = new RecoveryScenario(mDeployment, mSeed);
        VirtualCluster cluster = scenario.mCluster;
        scenario.submitLongTasks();
        // Checkpoints are recorded every 300 s, so some exist after 320 s.
        scenario.runFor(320 * RecoveryScenario.SECOND);
        VirtualWorker victim =
                cluster.workers().stream()
                        .max(Comparator.comparingInt(w -> w.mAgent.runningTokens().size()))
                        .orElseThrow();
        List<Long> tokens = victim.mAgent.runningTokens();
        long deathMillis = cluster.time().nowMillis();
        victim.kill();
        if (withSupervisor) {
            cluster.liveMembers().stream()
                    .filter(m -> m.mSupervisor.wantedLinks().containsKey(victim.id()))
                    .forEach(member -> member.mDead = true);
        }
        scenario.runFor(60 * RecoveryScenario.SECOND);
        RunHistory history = new RunHistory(cluster);
        LongSummaryStatistics resumed = new LongSummaryStatistics();
        long repeats = 0;
        for (List<RunHistory.Run> runs : history.runs().values()) {
            if (runs.stream().noneMatch(run -> tokens.contains(run.token()))) {
                continue;
            }
            List<RunHistory.Run> later =
                    runs.stream().filter(run -> run.startMillis() > deathMillis).toList();
            later.forEach(run -> resumed.accept(run.startMillis() - deathMillis));
            repeats += Math.max(0, later.size() - 1);
        }
        mFigures.put(prefix + "evictedTaskCount", (double) tokens.size());
        mFigures.put(prefix + "resumedTaskCount", (double) resumed.getCount());
        mFigures.put(prefix + "resumedAgainCount", (double) repeats);
        mFigures.put(prefix + "firstResumptionMillis", (double) resumed.getMin());
        mFigures.put(prefix + "lastResumptionMillis", (double) resumed.getMax());
        scenario.addFaultCounts(prefix, mFigures);
    }
}
