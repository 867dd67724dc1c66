package org.hornbeamward.bench.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hornbeamward.bench.limits.VirtualCluster.Deployment;
import org.junit.jupiter.api.Test;

/** Guards against figures that differ between runs of one seed, and against overbooked slots. */
class LimitsCaseTest {
    private static final long SECOND = 1_000_000_000L;

    private static LoadGenerator run(VirtualCluster cluster, long seed) {
        LoadGenerator load =
                new LoadGenerator(
                        cluster, seed, cluster.capacityPerSecond(), 0.5, SECOND, 4 * SECOND);
        cluster.time().after(2 * SECOND, () -> cluster.remove(cluster.mMembers.get(5)));
        cluster.time().runUntil(6 * SECOND);
        return load;
    }

    private static VirtualCluster cluster(long seed) {
        return new VirtualCluster(Variant.PRODUCT, Deployment.of("imbaraga"), seed);
    }

    @Test
    void sameSeedGivesTheSameFigures() {
        LoadGenerator one = run(cluster(41), 41);
        LoadGenerator other = run(cluster(41), 41);
        assertTrue(one.mGoodCount > 0);
        assertEquals(one.mGoodCount, other.mGoodCount);
        assertEquals(one.mMicros, other.mMicros);
    }

    @Test
    void noEndpointRunsMoreThanItsSlotsWhileARemovedMemberKeepsSending() {
        VirtualCluster cluster = cluster(42);
        run(cluster, 42);
        cluster.endpoints().forEach(endpoint -> assertTrue(endpoint.mMaxRunningCount <= 8));
    }
}
