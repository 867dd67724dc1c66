package org.hornbeamward.bench.recovery;

import java.util.List;
import java.util.SortedMap;
import org.hornbeamward.bench.fake.Deployment;

/** Kills all members at once and restarts them 1 s later, with the log up or down. */
final class TotalRestart {
    private static final long LIMIT = 90 * Scene.SECOND;
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
        restart("logDown60s", 60 * Scene.SECOND);
    }

    private void restart(String variant, long outageNanos) {
        Scene scene = new Scene(mDeployment, mSeed);
        VirtualCluster cluster = scene.mCluster;
        scene.submitLongTasks();
        scene.runFor(Scene.SECOND);
        scene.submitBacklog();
        scene.runFor(20 * Scene.SECOND);
        List<VirtualWorker> workers = scene.busyWorkers();
        long deathMillis = cluster.time().nowMillis();
        cluster.log().mUp = outageNanos == 0;
        cluster.members().forEach(member -> member.mDead = true);
        scene.runFor(Scene.SECOND);
        cluster.restartMembers();
        scene.runFor(outageNanos);
        cluster.log().mUp = true;
        long sinceMillis = cluster.time().nowMillis();
        long active =
                scene.millisUntil(
                        () -> cluster.members().stream().allMatch(VirtualMember::active), LIMIT);
        scene.runFor(LIMIT);
        String prefix = "totalRestart." + variant + ".";
        mFigures.put(prefix + "allActiveMillis", (double) active);
        mFigures.put(
                prefix + "firstPlacementMillis",
                (double)
                        cluster.workers().stream()
                                .mapToLong(
                                        w -> Scene.firstStartMillis(w, sinceMillis, LIMIT_MILLIS))
                                .min()
                                .orElse(LIMIT_MILLIS));
        mFigures.put(
                prefix + "lastWorkerPlacementMillis",
                (double) Scene.lastStartMillis(workers, sinceMillis, LIMIT_MILLIS));
        mFigures.put(
                prefix + "leaseLapseCount",
                (double) new RunHistory(cluster).leaseLapseCount(deathMillis));
        scene.putFaults(prefix, mFigures);
    }
}
