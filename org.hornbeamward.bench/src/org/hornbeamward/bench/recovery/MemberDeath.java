package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.standin.worker.WorkerEvent;

/** Kills the decider, and in a second run a supervisor, under a backlog of short tasks. */
final class MemberDeath {
    static final int MEMBER_COUNT = 9;
    static final int WORKER_COUNT = 30;
    private static final long SECOND = 1_000_000_000;
    private static final int BACKLOG = 3_000;
    private static final long RUN_MILLIS = 2_000;

    private final Deployment mDeployment;
    private final long mSeed;
    private final SortedMap<String, Double> mFigures;

    MemberDeath(String deployment, long seed, SortedMap<String, Double> figures) {
        mDeployment = Deployment.named(deployment);
        mSeed = seed;
        mFigures = figures;
    }

    void run() {
        kill("decider");
        kill("supervisor");
    }

    private void kill(String role) {
        VirtualCluster cluster = new VirtualCluster(mDeployment, MEMBER_COUNT, WORKER_COUNT, mSeed);
        Resources half =
                new Resources(
                        mDeployment.capacity().cpuMillicores() / 2,
                        mDeployment.capacity().memoryMib() / 2,
                        0);
        cluster.submit("backlog", BACKLOG, half, RUN_MILLIS);
        cluster.time().runFor(20 * SECOND);
        logUse(cluster, role);
        VirtualMember victim =
                role.equals("decider")
                        ? cluster.decider()
                        : cluster.living().stream()
                                .filter(member -> !member.decides())
                                .filter(member -> !member.mSupervisor.wantedLinks().isEmpty())
                                .findFirst()
                                .orElseThrow();
        List<WorkerId> workers = new ArrayList<>(victim.mSupervisor.wantedLinks().keySet());
        long deathMillis = cluster.time().nowMillis();
        victim.mDead = true;
        cluster.time().runFor(30 * SECOND);
        String prefix = "memberDeath." + role + ".";
        long last = 0;
        long first = Long.MAX_VALUE;
        for (WorkerId worker : workers) {
            long millis = firstStart(cluster.worker(worker), deathMillis).orElse(Long.MAX_VALUE);
            last = Math.max(last, millis);
            first = Math.min(first, millis);
        }
        mFigures.put(prefix + "supervisedWorkerCount", (double) workers.size());
        mFigures.put(prefix + "firstPlacementMillis", (double) first);
        mFigures.put(prefix + "lastWorkerPlacementMillis", (double) last);
        RunHistory history = new RunHistory(cluster);
        mFigures.put(prefix + "overlappingRunCount", (double) history.overlapCount());
        mFigures.put(prefix + "leaseLapseCount", (double) history.leaseLapseCount(deathMillis));
    }

    private void logUse(VirtualCluster cluster, String role) {
        long bytes = cluster.log().byteCount();
        int records = cluster.log().size();
        int starts = new RunHistory(cluster).startCount();
        cluster.time().runFor(20 * SECOND);
        double started = new RunHistory(cluster).startCount() - starts;
        if (role.equals("decider")) {
            mFigures.put("log.startCount", started);
            mFigures.put("log.bytesPerStart", (cluster.log().byteCount() - bytes) / started);
            mFigures.put("log.recordsPerStart", (cluster.log().size() - records) / started);
        }
    }

    /** Tasks placed before the death may start while the supervisor's death is unknown. */
    private static Optional<Long> firstStart(VirtualWorker worker, long deathMillis) {
        return worker.mEvents.all().stream()
                .filter(RunHistory::isStart)
                .map(WorkerEvent::monotonicMillis)
                .filter(millis -> millis > deathMillis + 1)
                .map(millis -> millis - deathMillis)
                .findFirst();
    }
}
