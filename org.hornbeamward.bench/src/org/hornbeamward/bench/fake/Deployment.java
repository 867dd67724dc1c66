package org.hornbeamward.bench.fake;

import java.util.List;
import org.hornbeamward.lib.Resources;

/**
 * Size of a cluster of fake workers.
 *
 * @param workerCount workers
 * @param capacity capacity of a worker without accelerators
 * @param domainCount failure domains
 * @param regionCount regions
 * @param rackSize workers in a rack
 * @param acceleratorCount total accelerators, at most 8 per worker
 * @param serviceClasses names of service classes
 * @param batchClasses names of batch classes
 */
public record Deployment(
        int workerCount,
        Resources capacity,
        int domainCount,
        int regionCount,
        int rackSize,
        int acceleratorCount,
        List<String> serviceClasses,
        List<String> batchClasses) {
    private static final List<String> BATCH =
            List.of("pack", "index", "scan", "train", "watch", "report", "copy", "merge");

    /** 30 workers of 16 cores in 4 failure domains. */
    public static final Deployment IMBARAGA =
            new Deployment(
                    30,
                    new Resources(16_000, 60 * 1024, 0),
                    4,
                    1,
                    6,
                    0,
                    List.of("issue", "renew", "recall", "lookup"),
                    BATCH);

    /** 30 workers of 32 cores in 3 failure domains. */
    public static final Deployment CONFIRMARE =
            new Deployment(
                    30,
                    new Resources(32_000, 125 * 1024, 0),
                    3,
                    1,
                    8,
                    0,
                    List.of("draft", "preview", "status"),
                    BATCH);

    /** The target in two years: 530 workers and 850 accelerators. */
    public static final Deployment TARGET =
            new Deployment(
                    530,
                    new Resources(32_000, 125 * 1024, 0),
                    10,
                    3,
                    8,
                    850,
                    List.of("issue", "renew", "draft", "status"),
                    BATCH);

    /**
     * Returns the deployment with a name.
     *
     * @param name {@code imbaraga} or {@code confirmare}
     * @return the deployment
     * @throws IllegalArgumentException if the name is unknown
     */
    public static Deployment named(String name) {
        return switch (name) {
            case "imbaraga" -> IMBARAGA;
            case "confirmare" -> CONFIRMARE;
            default ->
                    throw new IllegalArgumentException(
                            "unknown deployment " + name + "; use imbaraga or confirmare");
        };
    }

    /**
     * Returns the number of cores of a worker.
     *
     * @return whole cores
     */
    public double cores() {
        return capacity.cpuMillicores() / 1000.0;
    }
}
