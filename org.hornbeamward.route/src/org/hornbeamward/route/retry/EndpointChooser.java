package org.hornbeamward.route.retry;

import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.hornbeamward.lib.EndpointId;

/**
 * Chooses the endpoint with fewer used slots of two random ones. Source: Mitzenmacher, "The power
 * of two choices in randomized load balancing", IEEE TPDS 12(10), 2001.
 */
public final class EndpointChooser {
    private EndpointChooser() {}

    /**
     * Chooses an endpoint.
     *
     * @param candidates endpoints with a free slot
     * @param used returns the number of slots of an endpoint that this member uses
     * @param random random number generator
     * @return the chosen endpoint, or empty if there is no candidate
     */
    public static Optional<EndpointId> choose(
            List<EndpointId> candidates, ToIntFunction<EndpointId> used, RandomGenerator random) {
        int count = candidates.size();
        if (count == 0) {
            return Optional.empty();
        }
        int first = random.nextInt(count);
        if (count == 1) {
            return Optional.of(candidates.get(first));
        }
        int second = random.nextInt(count - 1);
        EndpointId firstEndpoint = candidates.get(first);
        EndpointId secondEndpoint = candidates.get(second < first ? second : second + 1);
        return Optional.of(
                used.applyAsInt(secondEndpoint) < used.applyAsInt(firstEndpoint)
                        ? secondEndpoint
                        : firstEndpoint);
    }
}
