package org.hornbeamward.dispatch.entry;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.hornbeamward.dispatch.config.QueueConfig;

/**
 * The queues of the known jobs by route, each as configured when a job of it was accepted. Callers
 * ask for a job by the route on which it was accepted, also once a configuration has removed the
 * route.
 */
final class AcceptedQueues {
    /** Number of routes from which on those without jobs are dropped. */
    static final int USUAL_COUNT = 256;

    private record Route(String queue, String host, String pathPrefix) {
        static Route of(String queue, String host, String pathPrefix) {
            return new Route(queue, host.toLowerCase(Locale.ROOT), pathPrefix);
        }
    }

    private final Map<Route, QueueConfig> mQueues = new LinkedHashMap<>();

    /**
     * Adds the queue of a job.
     *
     * @param queue the queue
     * @param namesInUse returns the names of the queues that have jobs
     */
    void put(QueueConfig queue, Supplier<Set<String>> namesInUse) {
        Route route = Route.of(queue.name(), queue.host(), queue.pathPrefix());
        if (mQueues.size() >= USUAL_COUNT && !mQueues.containsKey(route)) {
            Set<String> names = namesInUse.get();
            mQueues.keySet().removeIf(known -> !names.contains(known.queue()));
        }
        mQueues.put(route, queue);
    }

    Optional<QueueConfig> find(String name, String host, String pathPrefix) {
        return Optional.ofNullable(mQueues.get(Route.of(name, host, pathPrefix)));
    }

    Collection<QueueConfig> all() {
        return List.copyOf(mQueues.values());
    }

    void clear() {
        mQueues.clear();
    }
}
