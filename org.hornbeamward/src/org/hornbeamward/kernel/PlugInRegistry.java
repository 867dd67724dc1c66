package org.hornbeamward.kernel;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/** The registered implementations by type and name. */
public final class PlugInRegistry {
    private final Map<Class<?>, Map<String, Object>> mEntries = new HashMap<>();

    /** Creates an empty registry. */
    public PlugInRegistry() {}

    /**
     * Adds an implementation.
     *
     * @param type the interface
     * @param name the name by which settings select it
     * @param implementation the implementation
     * @param <T> the interface
     * @throws IllegalStateException if the name is taken
     */
    public synchronized <T> void add(Class<T> type, String name, T implementation) {
        Object previous =
                mEntries.computeIfAbsent(type, unused -> new TreeMap<>())
                        .putIfAbsent(name, implementation);
        if (previous != null) {
            throw new IllegalStateException(name + " is registered twice; rename one plug-in");
        }
    }

    /**
     * Finds an implementation.
     *
     * @param type the interface
     * @param name its name
     * @param <T> the interface
     * @return the implementation, or empty if there is none of that name
     */
    public synchronized <T> Optional<T> find(Class<T> type, String name) {
        return Optional.ofNullable(mEntries.getOrDefault(type, Map.of()).get(name)).map(type::cast);
    }

    /**
     * Returns the names registered for a type.
     *
     * @param type the interface
     * @return the names in ascending order
     */
    public synchronized SortedSet<String> names(Class<?> type) {
        return new TreeSet<>(mEntries.getOrDefault(type, Map.of()).keySet());
    }
}
