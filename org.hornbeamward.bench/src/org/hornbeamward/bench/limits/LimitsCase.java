package org.hornbeamward.bench.limits;

import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.hornbeamward.bench.BenchCase;
import org.hornbeamward.bench.limits.VirtualCluster.Deployment;

/**
 * Measures slot planning, retries and load shedding with 9 members and 30 endpoints of 8 slots
 * each. The goals are in docs/measurements-limits.md.
 */
public final class LimitsCase implements BenchCase {
    private static final long SECOND = 1_000_000_000L;
    private static final long WARM_UP = 10 * SECOND;
    private static final long END = 32 * SECOND;
    private static final long SAMPLE_INTERVAL = SECOND / 10;
    private static final double HALF = 0.5;
    private static final double[] LOAD_FACTORS = {0.8, 1.0, 1.2, 2.0};

    /** Creates the case. */
    public LimitsCase() {}

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public SortedMap<String, Double> run(String deployment, long seed) {
        Deployment times = Deployment.of(deployment);
        SortedMap<String, Double> figures = new TreeMap<>();
        for (Variant variant : new Variant[] {Variant.PRODUCT, Variant.BASELINE}) {
            skew(variant, times, seed, figures);
            churn(variant, times, seed, figures);
            failing(variant, times, seed, figures);
            overload(variant, times, seed, figures);
            mixed(variant, times, seed, figures);
        }
        for (Variant variant : Variant.ABLATIONS) {
            failing(variant, times, seed, figures);
            overload(variant, times, seed, figures);
            mixed(variant, times, seed, figures);
        }
        return figures;
    }

    /**
     * Measures the share of slots in use when demand exceeds the slots and one member gets half of
     * it.
     */
    private static void skew(
            Variant variant, Deployment times, long seed, SortedMap<String, Double> figures) {
        VirtualCluster cluster = new VirtualCluster(variant, times, seed);
        LoadGenerator load =
                new LoadGenerator(
                        cluster, seed, 1.2 * cluster.capacityPerSecond(), HALF, WARM_UP, END);
        double used = 0;
        int samples = 0;
        for (long at = WARM_UP; at < END; at += SAMPLE_INTERVAL) {
            cluster.time().runUntil(at);
            used += cluster.endpoints().stream().mapToInt(VirtualEndpoint::runningCount).sum();
            samples++;
        }
        int slots = VirtualCluster.ENDPOINT_COUNT * VirtualCluster.SLOT_COUNT;
        String prefix = "skew." + variant.name() + ".";
        figures.put(prefix + "usedSlotShare", used / samples / slots);
        figures.put(prefix + "maxSlotsInUse", maxSlots(cluster));
        figures.put(prefix + "goodShare", goodShare(load));
    }

    /** Measures latency at half load while members crash, are partitioned, leave and join. */
    private static void churn(
            Variant variant, Deployment times, long seed, SortedMap<String, Double> figures) {
        VirtualCluster cluster = new VirtualCluster(variant, times, seed);
        LoadGenerator load =
                new LoadGenerator(
                        cluster, seed, 0.5 * cluster.capacityPerSecond(), HALF, WARM_UP, END);
        scheduleChurn(cluster);
        cluster.time().runUntil(END);
        String prefix = "churn." + variant.name() + ".";
        figures.put(prefix + "maxSlotsInUse", maxSlots(cluster));
        latency(prefix, load, figures);
    }

    private static void scheduleChurn(VirtualCluster cluster) {
        VirtualTime time = cluster.time();
        VirtualMember crashed = cluster.mMembers.get(3);
        VirtualMember leaving = cluster.mMembers.get(4);
        VirtualMember partitioned = cluster.mMembers.get(5);
        time.after(12 * SECOND, crashed::shutDown);
        time.after(13 * SECOND, () -> crashed.mReceivesRequests = false);
        time.after(15 * SECOND, () -> cluster.remove(crashed));
        time.after(
                18 * SECOND,
                () -> {
                    leaving.mReceivesRequests = false;
                    leaving.leave();
                });
        time.after(20 * SECOND, () -> cluster.join());
        // Removed while it is partitioned: it keeps sending until its last promise expires.
        time.after(22 * SECOND, () -> cluster.remove(partitioned));
        time.after(26 * SECOND, partitioned::shutDown);
        time.after(26 * SECOND, () -> partitioned.mReceivesRequests = false);
        time.after(28 * SECOND, () -> cluster.join());
    }

    /** Measures attempts and latency while a third of the endpoints quickly answers status 500. */
    private static void failing(
            Variant variant, Deployment times, long seed, SortedMap<String, Double> figures) {
        VirtualCluster cluster = new VirtualCluster(variant, times, seed);
        LoadGenerator load =
                new LoadGenerator(
                        cluster, seed, 0.5 * cluster.capacityPerSecond(), 0, WARM_UP, END);
        cluster.time().runUntil(WARM_UP);
        long before = attempts(cluster);
        failThird(cluster, true);
        cluster.time().runUntil(END);
        String prefix = "failing." + variant.name() + ".";
        figures.put(
                prefix + "attemptsPerRequest",
                (attempts(cluster) - before) / (double) load.mRequestCount);
        latency(prefix, load, figures);
    }

    /** Compares the goodput at twice the capacity with the peak goodput over all loads. */
    private static void overload(
            Variant variant, Deployment times, long seed, SortedMap<String, Double> figures) {
        double peak = 0;
        double goodput = 0;
        for (double factor : LOAD_FACTORS) {
            VirtualCluster cluster = new VirtualCluster(variant, times, seed);
            LoadGenerator load =
                    new LoadGenerator(
                            cluster, seed, factor * cluster.capacityPerSecond(), 0, WARM_UP, END);
            cluster.time().runUntil(END + SECOND);
            goodput = load.mGoodCount * (double) SECOND / (END - WARM_UP);
            peak = Math.max(peak, goodput);
        }
        String prefix = "overload." + variant.name() + ".";
        figures.put(prefix + "peakGoodputPerSecond", peak);
        figures.put(prefix + "goodputShareAtTwice", goodput / peak);
    }

    /**
     * Combines skew, churn, two slow endpoints and ten seconds with a third of the endpoints
     * failing.
     */
    private static void mixed(
            Variant variant, Deployment times, long seed, SortedMap<String, Double> figures) {
        VirtualCluster cluster = new VirtualCluster(variant, times, seed);
        LoadGenerator load =
                new LoadGenerator(
                        cluster, seed, 0.5 * cluster.capacityPerSecond(), HALF, WARM_UP, END);
        scheduleChurn(cluster);
        cluster.endpoints().get(1).mSlowFactor = 10;
        cluster.endpoints().get(14).mSlowFactor = 10;
        cluster.time().after(20 * SECOND, () -> failThird(cluster, true));
        cluster.time().after(30 * SECOND, () -> failThird(cluster, false));
        cluster.time().runUntil(END);
        String prefix = "mixed." + variant.name() + ".";
        figures.put(prefix + "maxSlotsInUse", maxSlots(cluster));
        latency(prefix, load, figures);
    }

    private static void failThird(VirtualCluster cluster, boolean failing) {
        for (int index = 0; index < VirtualCluster.ENDPOINT_COUNT; index += 3) {
            cluster.endpoints().get(index).mFailing = failing;
        }
    }

    private static long attempts(VirtualCluster cluster) {
        return cluster.mMembers.stream().mapToLong(member -> member.mAttemptCount).sum();
    }

    private static double maxSlots(VirtualCluster cluster) {
        return cluster.endpoints().stream()
                .mapToInt(endpoint -> endpoint.mMaxRunningCount)
                .max()
                .orElse(0);
    }

    private static double goodShare(LoadGenerator load) {
        return load.mGoodCount / (double) load.mRequestCount;
    }

    private static void latency(
            String prefix, LoadGenerator load, SortedMap<String, Double> figures) {
        Histogram micros = load.mMicros;
        figures.put(prefix + "p50Millis", micros.getValueAtPercentile(50) / 1e3);
        figures.put(prefix + "p99Millis", micros.getValueAtPercentile(99) / 1e3);
        figures.put(prefix + "p999Millis", micros.getValueAtPercentile(99.9) / 1e3);
        figures.put(prefix + "goodShare", goodShare(load));
    }
}
