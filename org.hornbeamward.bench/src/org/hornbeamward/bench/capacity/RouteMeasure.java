package org.hornbeamward.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.route.claim.Claim;
import org.hornbeamward.route.claim.ClaimKey;
import org.hornbeamward.route.claim.ClaimRecord;
import org.hornbeamward.route.claim.ClaimTable;
import org.hornbeamward.route.slot.SlotPlanner;
import org.hornbeamward.route.slot.SlotUse;

/** Measures claims of non-idempotent requests and slot planning. */
final class RouteMeasure {
    private static final int[] CLAIM_COUNTS = {50_000, 100_000, 150_000, ClaimTable.MAX_KEYS};
    private static final int[] CLAIMS_PER_RECORD = {1, 2, 5, 20, 100};
    private static final int[] ENDPOINT_COUNTS = {30, 60, 120};
    private static final int[] MEMBER_COUNTS = {3, 6, 9, 18};
    private static final InstanceId OWN = MeasuredCluster.instance(0);

    private final Report mReport;
    private final long mSeed;
    private final SplittableRandom mRandom;

    RouteMeasure(Report report, long seed) {
        mReport = report;
        mSeed = seed;
        mRandom = new SplittableRandom(seed);
    }

    void run() {
        claimBytes();
        claimTables();
        int[] endpoints = ENDPOINT_COUNTS;
        double[] x = new double[endpoints.length];
        double[] nanos = new double[endpoints.length];
        ClusterSize bare = ClusterSize.TARGET.withTasks(0).withEndedJobs(0);
        plan(bare);
        for (int i = 0; i < endpoints.length; i++) {
            x[i] = endpoints[i];
            nanos[i] = plan(bare.withEndpoints(endpoints[i]));
        }
        mReport.series("slots.planNanos", "Endpoint", x, nanos);
        x = new double[MEMBER_COUNTS.length];
        nanos = new double[MEMBER_COUNTS.length];
        for (int i = 0; i < MEMBER_COUNTS.length; i++) {
            x[i] = MEMBER_COUNTS[i];
            nanos[i] = plan(bare.withMembers(MEMBER_COUNTS[i]));
        }
        mReport.series("slots.planNanos", "Member", x, nanos);
    }

    private List<Claim> claims(int count) {
        List<Claim> claims = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ClaimKey key = new ClaimKey(mRandom.nextLong(), mRandom.nextLong());
            claims.add(new Claim(key, mRandom.nextLong(), 1_000_000 + i));
        }
        return claims;
    }

    private static ClaimRecord record(List<Claim> claims) {
        return new ClaimRecord(
                OWN, MeasuredCluster.incarnation(0), MeasuredCluster.WALL_MILLIS, claims);
    }

    private void claimBytes() {
        double[] x = new double[CLAIMS_PER_RECORD.length];
        double[] bytes = new double[CLAIMS_PER_RECORD.length];
        for (int i = 0; i < x.length; i++) {
            x[i] = CLAIMS_PER_RECORD[i];
            bytes[i] = record(claims(CLAIMS_PER_RECORD[i])).encode().length;
        }
        mReport.series("claims.recordBytes", "Claim", x, bytes);
    }

    private void claimTables() {
        double[] x = new double[CLAIM_COUNTS.length];
        double[] memory = new double[x.length];
        double[] snapshot = new double[x.length];
        double[] applyNanos = new double[x.length];
        // The first measurement also counts classes and caches that stay loaded, so it is
        // discarded.
        Meter.retainedBytes(() -> fill(CLAIM_COUNTS[0]));
        for (int i = 0; i < x.length; i++) {
            int count = CLAIM_COUNTS[i];
            x[i] = count;
            memory[i] = Meter.retainedBytes(() -> fill(count));
            long before = Meter.cpuNanos();
            ClaimTable table = fill(count);
            applyNanos[i] = (double) (Meter.cpuNanos() - before);
            snapshot[i] = table.encode().length;
        }
        mReport.series("claims.memoryBytes", "Claim", x, memory);
        mReport.series("claims.snapshotBytes", "Claim", x, snapshot);
        mReport.series("claims.drawAndApplyNanos", "Claim", x, applyNanos);
    }

    private ClaimTable fill(int count) {
        ClaimTable table = new ClaimTable();
        for (int i = 0; i < count; i += 10) {
            table.apply(record(claims(10)));
        }
        return table;
    }

    /**
     * Returns the time of one plan by a member that holds no slots and requests its full target.
     */
    private double plan(ClusterSize size) {
        MeasuredCluster cluster = new MeasuredCluster(size, mSeed);
        for (int member = 0; member < size.memberCount(); member++) {
            cluster.apply(member, List.of(new RenewMember(1, 20 + 7 * member)));
        }
        SlotPlanner planner = new SlotPlanner(OWN);
        SlotUse use = new SlotUse();
        return Meter.medianCpuNanos(
                        () -> {
                            for (int i = 0; i < 100; i++) {
                                planner.plan(cluster.mState, use, Set.of(), 0);
                            }
                        })
                / 100;
    }
}
