package org.hornbeamward.bench;

import java.util.SortedMap;

/**
 * One measurement; found by {@link java.util.ServiceLoader}. The same seed gives the same figures.
 */
public interface BenchCase {
    /**
     * Returns the name for {@code --case}.
     *
     * @return a word in lower case
     */
    String name();

    /**
     * Runs the measurement.
     *
     * @param deployment {@code imbaraga} or {@code confirmare}
     * @param seed seed of all random choices
     * @return figures by key; each key carries its unit, e.g. {@code product.p99Millis}
     */
    SortedMap<String, Double> run(String deployment, long seed);
}
