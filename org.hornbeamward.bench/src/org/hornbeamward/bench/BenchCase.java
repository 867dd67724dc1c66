package org.hornbeamward.bench;

import java.util.SortedMap;

/** Benchmark, loaded by {@link java.util.ServiceLoader}. The same seed gives the same figures. */
public interface BenchCase {
    /**
     * Returns the name that selects this benchmark with {@code --case}.
     *
     * @return one lower-case word
     */
    String name();

    /**
     * Runs the benchmark.
     *
     * @param deployment {@code imbaraga} or {@code confirmare}
     * @param seed seed of all random choices
     * @return figures by key; each key includes its unit, e.g. {@code product.p99Millis}
     */
    SortedMap<String, Double> run(String deployment, long seed);
}
