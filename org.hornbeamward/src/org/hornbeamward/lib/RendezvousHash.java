package org.hornbeamward.lib;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Rendezvous hashing (highest random weight): picks one candidate per key such that removing a
 * candidate moves only the keys assigned to it. Source: Thaler and Ravishankar, "Using name-based
 * mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Picks the candidate with the highest weight for a key.
     *
     * @param key the key
     * @param candidates the candidates, in any order
     * @return the candidate, or empty if there is none
     */
    public static Optional<InstanceId> pick(String key, Collection<InstanceId> candidates) {
        return candidates.stream()
                .max(
                        Comparator.comparing(
                                        (InstanceId candidate) -> weight(key, candidate),
                                        Long::compareUnsigned)
                                .thenComparing(Comparator.reverseOrder()));
    }

    private static long weight(String key, InstanceId candidate) {
        return Hashing.komihash5_0().hashCharsToLong(key + '\n' + candidate.value());
    }
}
